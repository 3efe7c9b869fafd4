package scheduler

import (
	"cmp"
	"time"
)

const (
	// maxAdviceDeferral is how long a stage waits for a machine to query the advice service while more urgent ones take all of
	// them. Then it precedes them once.
	maxAdviceDeferral = 5 * time.Second
	// freeAdviceDeferral is the same while most cores are free. It leaves 2 s for a call and a renewal of the limit of 3 s for
	// work that has free capacity.
	freeAdviceDeferral = time.Second
	// deferralMemory is how long after its last attempt a stage still counts as waiting for a machine. Passes over all
	// stages are more frequent.
	deferralMemory = 2 * (fullPassInterval + tickSlack)
	// overdueAdviceInterval bounds the requests that precede more urgent stages to two a second.
	overdueAdviceInterval = 500 * time.Millisecond
)

// maxOverdueAttempts bounds how many deferred stages without a runner to query a pass tries.
const maxOverdueAttempts = 8

// adviceDeferral records that a stage finds no machine for its request.
type adviceDeferral struct {
	since time.Duration // 0: the last request was sent
	last  time.Duration // last attempt
}

// attempt records an attempt without a machine.
func (d *adviceDeferral) attempt(now time.Duration) {
	if d.since == 0 || now-d.last > deferralMemory {
		d.since = now
	}
	d.last = now
}

// requestOverdueAdvice requests advice for a stage that has waited too long for a machine, before more urgent stages take the next
// one.
func (s *Scheduler) requestOverdueAdvice() {
	if s.now-s.overdueAdviceAt < overdueAdviceInterval {
		return
	}
	for range maxOverdueAttempts {
		st := s.longestDeferred()
		if st == nil {
			return
		}
		requests := st.advice.requests
		if waiting := st.waitingTasks(); waiting > 0 {
			s.requestAdvice(st, waiting)
		} else {
			st.advice.deferral = adviceDeferral{}
		}
		if st.advice.requests > requests {
			s.overdueAdviceAt = s.now
			return
		}
		if st.advice.deferral.since > 0 {
			return // no machine is free for it
		}
	}
}

// longestDeferred returns the stage of the most important queue that has waited longest for a machine; nil if none has for too
// long.
func (s *Scheduler) longestDeferred() *stage {
	limit := maxAdviceDeferral
	if s.mostlyFree {
		limit = freeAdviceDeferral
	}
	var longest *stage
	for _, st := range s.openStages {
		d := &st.advice.deferral
		if d.since == 0 || s.now-d.last > deferralMemory || s.now-d.since < limit {
			continue
		}
		if longest == nil || compareDeferred(st, longest) < 0 {
			longest = st
		}
	}
	return longest
}

func compareDeferred(a, b *stage) int {
	return cmp.Or(cmp.Compare(a.job.queue.Priority, b.job.queue.Priority), cmp.Compare(a.advice.deferral.since, b.advice.deferral.since))
}
