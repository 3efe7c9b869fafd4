package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
)

// Config holds the timeouts and thresholds of a pool; see DefaultConfig.
type Config struct {
	GrantTTL             time.Duration // unused grants expire after this
	HoldTTL              time.Duration // the same for reservations of Hold
	StartWindow          time.Duration // time from StartAttempts to the start deadline, after which the endpoint refuses the start
	StartMargin          time.Duration // added to StartWindow before a start is considered impossible; covers clock drift
	LeaseTTL             time.Duration // lease of an endpoint
	LeaseMargin          time.Duration // waited after LeaseTTL before work is considered stopped
	SettledTTL           time.Duration // minimum retention of settled attempts
	RecordRetention      time.Duration // retention of the at-most-once record: how long an undelivered end is kept and not acknowledged, and an attempt that may be listed again is kept
	SuspectAfter         int           // consecutive failed session calls after which an endpoint gets no grants
	MaxLostReplies       int           // consecutive lost replies after which no session calls are sent to an endpoint with attempts until its lease has expired
	ShortRun             time.Duration // longest run time, at highQuantile, with which work that is not idempotent or runs in a runner pool may borrow beyond its flood share
	PeakDecay            time.Duration // time constant with which the recorded peak use of a template decays
	ThrottleAfter        time.Duration // wait of unplaced urgent work before less urgent tasks are throttled
	CheckpointAfter      time.Duration // throttled tasks are checkpointed after CheckpointAfter-ThrottleAfter
	StopAfter            time.Duration // checkpointed tasks are stopped after StopAfter-CheckpointAfter
	FailureStreak        int           // consecutive failures attributed to an endpoint that quarantine it
	BrokenAfterEndpoints int           // endpoints on which a template fails, without a success between, before it is marked broken; fewer in a pool with fewer endpoints, but at least minBrokenEndpoints
	ProbeMinInterval     time.Duration // interval before the first probe of a quarantined endpoint, before jitter
	ProbeMaxInterval     time.Duration // upper bound of the probe interval, before jitter
	MaxQuarantine        float64       // upper bound of the quarantined share of the capacity
}

// DefaultConfig returns the values that pools use. The targets of the project are
// based on them.
func DefaultConfig() Config {
	return Config{
		GrantTTL:             time.Second,
		HoldTTL:              500 * time.Millisecond,
		StartWindow:          2 * time.Second,
		StartMargin:          200 * time.Millisecond,
		LeaseTTL:             endpoint.LeaseTTL,
		LeaseMargin:          2 * time.Second,
		SettledTTL:           time.Minute,
		RecordRetention:      15 * time.Minute,
		SuspectAfter:         2,
		MaxLostReplies:       5,
		ShortRun:             500 * time.Millisecond,
		PeakDecay:            10 * time.Second,
		ThrottleAfter:        100 * time.Millisecond,
		CheckpointAfter:      300 * time.Millisecond,
		StopAfter:            800 * time.Millisecond,
		FailureStreak:        3,
		BrokenAfterEndpoints: 3,
		ProbeMinInterval:     5 * time.Second,
		ProbeMaxInterval:     5 * time.Minute,
		MaxQuarantine:        0.5,
	}
}
