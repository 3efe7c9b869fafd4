package scheduler

import "time"

// Queue holds the operator's settings for one queue, for the jobs that name it. A job has its full value if it completes
// within Stretch times the expected duration of its critical path and its advice calls, plus Objective; see objectiveOf.
type Queue struct {
	Name      string
	Service   string        // service whose runners run the jobs
	Priority  int           // 0 is the highest
	Attempts  int           // number of failed runs of a task after which its job fails; 0: no limit
	Stretch   float64       // factor on the expected duration
	Objective time.Duration // constant part of the time in which a job has its full value
	Advice    *AdvicePolicy // nil: no advice required
}

// AdvicePolicy is the duration of advice calls and the validity of their tickets.
type AdvicePolicy struct {
	PerCall   time.Duration // fixed duration of each call
	PerRunner time.Duration // additional duration for each runner in the call
	TicketTTL time.Duration // validity of a ticket
}

// CallDuration returns the expected duration of a call about n runners.
func (p *AdvicePolicy) CallDuration(n int) time.Duration {
	return p.PerCall + time.Duration(n)*p.PerRunner
}
