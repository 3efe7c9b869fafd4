package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
)

// Config holds the limits of a pool. DefaultConfig returns the values in use.
type Config struct {
	GrantTTL             time.Duration // unused grants are void after this
	HoldTTL              time.Duration // the same for held parts of gangs
	StartWindow          time.Duration // from Begin until the endpoint refuses the start
	StartMargin          time.Duration // added to StartWindow before a start is taken for impossible; covers clock drift
	LeaseTTL             time.Duration // lease of an endpoint
	LeaseMargin          time.Duration // waited after LeaseTTL before work is taken for stopped
	SettledTTL           time.Duration // how long settled attempts are remembered
	SuspectAfter         int           // failed session calls in a row after which an endpoint gets no grants
	MaxLostReplies       int           // lost session calls in a row after which the lease is left to lapse
	ShortRun             time.Duration // work with a high quantile up to this may borrow beyond its share
	PeakDecay            time.Duration // time constant of the remembered peak use of a template
	ThrottleAfter        time.Duration // wait of unplaced urgent work before lesser tasks are throttled
	CheckpointAfter      time.Duration // the same before they are checkpointed
	StopAfter            time.Duration // the same before they are stopped
	FailureStreak        int           // evidence of failure in a row that quarantines an endpoint
	BrokenAfterEndpoints int           // endpoints on which a template fails in a row before it is marked broken
	ProbeMinInterval     time.Duration // first interval of probes of a quarantined endpoint
	ProbeMaxInterval     time.Duration // greatest interval of probes
	MaxQuarantine        float64       // greatest share of the capacity in quarantine
}

// DefaultConfig returns the values that the targets of the design page assume.
func DefaultConfig() Config {
	return Config{
		GrantTTL:             time.Second,
		HoldTTL:              500 * time.Millisecond,
		StartWindow:          2 * time.Second,
		StartMargin:          200 * time.Millisecond,
		LeaseTTL:             endpoint.LeaseTTL,
		LeaseMargin:          2 * time.Second,
		SettledTTL:           time.Minute,
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
