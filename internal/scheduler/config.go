package scheduler

import "time"

// Config holds the bounds that the scheduler keeps.
type Config struct {
	RunLease          time.Duration // how long a runner goes on without hearing from the owner
	ClockDrift        float64       // how much slower a runner's clock may be, as a share
	LeaseExpiryMargin time.Duration // until a runner that thaws has noticed that its lease is over
	StopTimeout       time.Duration // a stop takes at most this long
	OwnerLease        time.Duration // how long an owner that was replaced may still give orders
	StatusRetention   time.Duration // how long a final state is kept
}

const (
	// ticketMargin is the remaining validity below which a ticket is renewed: one start call over two zones.
	ticketMargin = 40 * time.Millisecond
	// ticketTransit is taken off a ticket's validity for the way of the answer that brought it.
	ticketTransit = 60 * time.Millisecond
	// adviceTransit is how long an advice call waits for others and travels, beyond its own work.
	adviceTransit = 200 * time.Millisecond
	// maxAdviceRunners is the most runners that one advice call may name.
	maxAdviceRunners = 100
	// adviceRetry is the pause after an advice call that failed.
	adviceRetry = 100 * time.Millisecond
	// stopRetry is the pause after a stop that got no answer.
	stopRetry = 300 * time.Millisecond
	// lateFactor is the multiple of a job's objective past which it earns nothing.
	lateFactor = 3
)
