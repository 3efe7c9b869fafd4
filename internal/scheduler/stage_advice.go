package scheduler

import (
	"slices"
	"strings"
	"time"
)

// stageAdvice is what the advice service has said about a stage. The set of good runners doesn't change;
// their tickets lapse.
type stageAdvice struct {
	pending    int // calls under way
	retryAt    time.Duration
	calls      int           // about further runners
	askedAt    time.Duration // when it was last asked about further runners
	fleet      int           // version of the fleet whose runners have all been asked about
	asked      lifeSet
	tickets    map[*runner]ticket
	recalled   bool       // the good runners were recorded by a predecessor
	remembered []string   // good runners that a predecessor has recorded
	good       []goodLife // in the order of the runners' identifiers
}

// goodLife is a life of a runner that may run the stage.
type goodLife struct {
	runner *runner
	born   int64
}

// ticket allows the runs of a stage on one life of a runner.
type ticket struct {
	value string
	born  int64
	until time.Duration
}

// valid reports whether a start that is sent now arrives while the ticket holds.
func (t ticket) valid(now time.Duration) bool {
	return now+ticketMargin < t.until
}

// ticketOf returns the ticket for the present life of a runner; good is false if the stage may not run there.
func (a *stageAdvice) ticketOf(r *runner) (t ticket, good bool) {
	t, good = a.tickets[r]
	return t, good && t.born == r.born
}

// adviceIsDear reports whether the answers are worth recording for a successor.
func (st *stage) adviceIsDear() bool {
	return st.job.queue.Advice != nil && st.job.queue.Advice.PerCall > shortAdvice
}

// recall takes over the good runners that a predecessor has recorded. Their tickets have to be renewed.
func (s *Scheduler) recall(st *stage) {
	a := &st.advice
	if a.tickets == nil {
		a.tickets = map[*runner]ticket{}
	}
	for _, id := range a.remembered {
		r := s.runners[id]
		if r == nil || !r.reached {
			continue
		}
		a.asked.add(r.slot)
		a.tickets[r] = ticket{born: r.born}
	}
	a.remembered, a.recalled, a.askedAt = nil, true, s.now
	a.collectGood()
}

// collectGood makes the list of good runners anew.
func (a *stageAdvice) collectGood() {
	a.good = a.good[:0]
	for r, t := range a.tickets {
		a.good = append(a.good, goodLife{r, t.born})
	}
	slices.SortFunc(a.good, func(x, y goodLife) int { return strings.Compare(x.runner.ID, y.runner.ID) })
}

// forget drops what is known of a runner, so that it is asked about again.
func (a *stageAdvice) forget(r *runner) {
	a.asked.remove(r.slot)
	delete(a.tickets, r)
	a.fleet = 0
}
