package scheduler

import "time"

// Queue holds an operator's settings of one kind of work.
type Queue struct {
	Name      string
	Service   string // whose runners run it
	Priority  int    // 0 comes first
	Attempts  int    // failed runs after which a task has failed
	Stretch   float64
	Objective time.Duration // added to the stretched chain of work
	Advice    *AdvicePolicy // nil: every runner may run it
}

// AdvicePolicy is the cost and life of an answer of the advice service.
type AdvicePolicy struct {
	PerCall   time.Duration // of each call
	PerRunner time.Duration
	TicketTTL time.Duration // of a ticket
}

// CallDuration returns how long a call about n runners takes.
func (p *AdvicePolicy) CallDuration(n int) time.Duration {
	return p.PerCall + time.Duration(n)*p.PerRunner
}
