package shard

import "time"

// Config holds the limits of a Table. Zero fields take the defaults.
type Config struct {
	QueueEntries     int           // queued requests per template
	QueueBytes       int64         // queued body bytes per template
	Retention        time.Duration // how long, in addition to ClockSkew, the record of a finished request is kept
	ClockSkew        time.Duration // maximum difference between the clocks of two machines
	KeptAnswerBytes  int           // larger answers are not recorded
	AcceptBytes      int           // largest body of an asynchronous request
	RetryBudget      float64       // retries per recent start of a template
	RetryFloor       float64       // retries allowed regardless of recent starts
	RetryBase        time.Duration // backoff before the first retry, doubled with each, before jitter
	RetryMax         time.Duration // longest backoff, before jitter
	RestartMax       time.Duration // longest backoff of a service replica, before jitter
	HoldLimit        time.Duration // how long the grants of an incomplete gang are held
	RateWindow       time.Duration // half-life of measured rates
	AgeingPerSecond  float64       // credit for each second of waiting in fair sharing, in weighted starts
	MinimumRetryWait time.Duration // lower bound of Retry-After in a refusal
}

// The defaults of Config.
const (
	DefaultQueueEntries     = 200_000
	DefaultQueueBytes       = 64 << 20
	DefaultRetention        = 15 * time.Minute
	DefaultClockSkew        = 5 * time.Second
	DefaultKeptAnswerBytes  = 64 << 10
	DefaultAcceptBytes      = 64 << 10
	DefaultRetryBudget      = 0.1
	DefaultRetryFloor       = 3 // a template with few starts must still be able to retry a lost request
	DefaultRetryBase        = 50 * time.Millisecond
	DefaultRetryMax         = 5 * time.Second
	DefaultRestartMax       = time.Minute
	DefaultHoldLimit        = 500 * time.Millisecond
	DefaultRateWindow       = 5 * time.Second
	DefaultAgeingPerSecond  = 1.0
	DefaultMinimumRetryWait = 250 * time.Millisecond
)

// withDefaults returns c with every zero field set to its default.
func (c Config) withDefaults() Config {
	setDefault(&c.QueueEntries, DefaultQueueEntries)
	setDefault(&c.QueueBytes, DefaultQueueBytes)
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.ClockSkew, DefaultClockSkew)
	setDefault(&c.KeptAnswerBytes, DefaultKeptAnswerBytes)
	setDefault(&c.AcceptBytes, DefaultAcceptBytes)
	setDefault(&c.RetryBudget, DefaultRetryBudget)
	setDefault(&c.RetryFloor, DefaultRetryFloor)
	setDefault(&c.RetryBase, DefaultRetryBase)
	setDefault(&c.RetryMax, DefaultRetryMax)
	setDefault(&c.RestartMax, DefaultRestartMax)
	setDefault(&c.HoldLimit, DefaultHoldLimit)
	setDefault(&c.RateWindow, DefaultRateWindow)
	setDefault(&c.AgeingPerSecond, DefaultAgeingPerSecond)
	setDefault(&c.MinimumRetryWait, DefaultMinimumRetryWait)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
