package scheduler

import (
	"slices"
	"strings"
	"time"
)

// stageAdvice holds the responses of the advice service for a stage. Whether a runner is eligible is expected not to
// change, so an incarnation is normally queried again only to renew its ticket, which expires.
type stageAdvice struct {
	pending          int // calls in flight
	retryAt          time.Duration
	requests         int           // number of requests for further runners
	requestedAt      time.Duration // time of the last request for further runners
	deferral         adviceDeferral
	exhaustedVersion int // fleetVersion at which a gang found no further runner to query
	queried          incarnationSet
	tickets          map[*runner]ticket
	restored         bool                  // eligible runners were restored from the record of a predecessor
	recordedEligible []string              // eligible runners recorded by a predecessor, not restored yet
	eligible         []eligibleIncarnation // sorted by runner identifier
}

// eligibleIncarnation is an incarnation of a runner that may run the stage.
type eligibleIncarnation struct {
	runner      *runner
	incarnation int64
}

// ticket authorizes the runs of a stage on one incarnation of a runner.
type ticket struct {
	value       string
	incarnation int64
	expiresAt   time.Duration
}

// valid reports whether a start request that is sent at the given time arrives before the ticket expires.
func (t ticket) valid(at time.Duration) bool {
	return at+ticketMargin < t.expiresAt
}

// ticketOf returns the ticket for the current incarnation of a runner, which may have expired; eligible is false if the
// advice service has not named this incarnation as eligible.
func (a *stageAdvice) ticketOf(r *runner) (t ticket, eligible bool) {
	t, eligible = a.tickets[r]
	return t, eligible && t.incarnation == r.incarnation
}

// adviceIsExpensive reports whether advice calls take long enough that the responses are recorded for a successor.
func (st *stage) adviceIsExpensive() bool {
	return st.job.queue.Advice != nil && st.job.queue.Advice.PerCall > shortCallLimit
}

// restoreAdvice restores the eligible runners that a predecessor has recorded. Their tickets have to be renewed.
func (s *Scheduler) restoreAdvice(st *stage) {
	a := &st.advice
	if a.tickets == nil {
		a.tickets = map[*runner]ticket{}
	}
	for _, id := range a.recordedEligible {
		r := s.runners[id]
		if r == nil || !r.reported {
			continue
		}
		a.queried.add(r.slot)
		a.tickets[r] = ticket{incarnation: r.incarnation}
	}
	a.recordedEligible, a.restored, a.requestedAt = nil, true, s.now
	a.rebuildEligible()
}

// rebuildEligible rebuilds the sorted list of eligible runners.
func (a *stageAdvice) rebuildEligible() {
	a.eligible = a.eligible[:0]
	for r, t := range a.tickets {
		a.eligible = append(a.eligible, eligibleIncarnation{r, t.incarnation})
	}
	slices.SortFunc(a.eligible, func(x, y eligibleIncarnation) int { return strings.Compare(x.runner.ID, y.runner.ID) })
}

// discard removes the advice about a runner, so that it is queried again.
func (a *stageAdvice) discard(r *runner) {
	a.queried.remove(r.slot)
	delete(a.tickets, r)
	a.exhaustedVersion = 0
}
