package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
)

// Config holds the timeouts and thresholds of a pool. DefaultConfig returns the
// values in use.
type Config struct {
	GrantTTL             time.Duration // unused grants expire after this
	HoldTTL              time.Duration // the same for reservations of Hold
	StartWindow          time.Duration // from StartAttempts until the endpoint refuses the start
	StartMargin          time.Duration // added to StartWindow before a start is considered impossible; covers clock drift
	LeaseTTL             time.Duration // lease of an endpoint
	LeaseMargin          time.Duration // waited after LeaseTTL before work is considered stopped
	SettledTTL           time.Duration // retention of settled attempts
	SuspectAfter         int           // consecutive failed session calls after which an endpoint gets no grants
	MaxLostReplies       int           // lost replies to session calls, without a reply between, after which calls stop until the lease expires
	ShortRun             time.Duration // work may borrow beyond its flood share if the high quantile of its run time is at most this
	PeakDecay            time.Duration // time constant with which the recorded peak use of a template decays
	ThrottleAfter        time.Duration // wait of unplaced urgent work before less urgent tasks are throttled
	CheckpointAfter      time.Duration // the same before they are checkpointed
	StopAfter            time.Duration // the same before they are stopped
	FailureStreak        int           // consecutive failures attributed to an endpoint that quarantine it
	BrokenAfterEndpoints int           // endpoints on which a template fails, without a success between, before it is marked broken
	ProbeMinInterval     time.Duration // interval before the first probe of a quarantined endpoint
	ProbeMaxInterval     time.Duration // upper bound of the probe interval
	MaxQuarantine        float64       // upper bound of the quarantined share of the capacity
}

// DefaultConfig returns the values on which the targets in the design document are based.
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
