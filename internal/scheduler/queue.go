package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

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

// settings returns the stored form of the queue's settings.
func (q *Queue) settings() *job.QueueSettings {
	out := &job.QueueSettings{Service: q.Service, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Objective: q.Objective}
	if q.Advice != nil {
		out.Advice = &job.AdviceSettings{PerCall: q.Advice.PerCall, PerRunner: q.Advice.PerRunner, TicketTTL: q.Advice.TicketTTL}
	}
	return out
}

// storedQueue returns the queue whose settings a record holds; without settings it has no service, so that its jobs wait.
func storedQueue(name string, stored *job.QueueSettings) Queue {
	if stored == nil {
		return Queue{Name: name}
	}
	q := Queue{
		Name: name, Service: stored.Service, Priority: stored.Priority, Attempts: stored.Attempts, Stretch: stored.Stretch, Objective: stored.Objective,
	}
	if stored.Advice != nil {
		q.Advice = &AdvicePolicy{PerCall: stored.Advice.PerCall, PerRunner: stored.Advice.PerRunner, TicketTTL: stored.Advice.TicketTTL}
	}
	return q
}

// CallDuration returns the expected duration of a call about n runners.
func (p *AdvicePolicy) CallDuration(n int) time.Duration {
	return p.PerCall + time.Duration(n)*p.PerRunner
}
