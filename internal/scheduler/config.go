package scheduler

import "time"

// Config holds the timing limits that the scheduler relies on.
type Config struct {
	RunLease          time.Duration // how long a runner keeps its runs after a message that extends their lease
	MaxLease          time.Duration // longest lease that a runner grants, whatever a message asks for
	ClockDrift        float64       // maximum relative error of a runner's clock, if it is slow
	LeaseExpiryMargin time.Duration // time that a runner which resumes after a pause needs to notice that its lease has expired
	StopTimeout       time.Duration // maximum duration of a stop
	OwnerLease        time.Duration // how long a replaced owner may still send requests to runners
	StatusRetention   time.Duration // how long the final state of a job is kept
}

const (
	// ticketMargin is the remaining validity below which a ticket is renewed: the duration of a start request across two
	// zones.
	ticketMargin = 40 * time.Millisecond
	// ticketLatency is subtracted from a ticket's validity for the network latency of the response that carried it.
	ticketLatency = 60 * time.Millisecond
	// adviceLatency is the queueing time and network latency of an advice call, on top of its processing time.
	adviceLatency = 200 * time.Millisecond
	// maxAdviceRunners is the maximum number of runners in one advice call.
	maxAdviceRunners = 100
	// adviceRetryDelay is the delay before a failed advice call is retried.
	adviceRetryDelay = 100 * time.Millisecond
	// stopRetryInterval is the delay before an unanswered stop request is sent again.
	stopRetryInterval = 300 * time.Millisecond
	// lateFactor is the multiple of a job's objective after which its completion has no value.
	lateFactor = 3
)
