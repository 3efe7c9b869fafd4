package scheduler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shortAdviceWait is the predicted wait for advice calls from which on they are kept short: work that has free capacity
	// has to start within 3 s.
	shortAdviceWait = 3 * time.Second
	// leanOversampling is the ratio of requested to needed capacity of a gang then. Smaller requests often fall short, and a
	// second call costs more than the runners saved.
	leanOversampling = 1.8
)

// keepsCallsShort reports whether a stage asks about no more runners than it probably needs, as advice, not capacity, is what
// most work waits for: most cores are free, and the calls that the accepted stages need take long. Short calls use machines
// of their own.
func (s *Scheduler) keepsCallsShort(st *stage) bool {
	return s.mostlyFree && st.adviceIsExpensive() && s.load.adviceWait(math.MaxInt, len(s.dispatcher.machines)) > shortAdviceWait
}

// unqueriedWithRoom returns as many runners that the gang has not queried as it probably needs, counting their free
// capacity. The search starts at a position that differs between jobs, so that gangs rarely compete for the same runners.
func (s *Scheduler) unqueriedWithRoom(st *stage) []RunnerRef {
	need, limit := st.step.Reserved(), st.maxOnRunner(len(st.tasks))
	known, runtime := 0, s.expectedRunTime(st)
	for _, r := range s.candidates(st, nil) {
		known += need.Copies(s.roomNow(st, r, runtime), limit)
	}
	wanted := (leanOversampling*float64(len(st.tasks)) - float64(known)) / s.eligibleShare(st)
	var refs []RunnerRef
	found, n := 0, len(s.byFreeCores)
	start := int(xxhash.Sum64String(st.id.Job) % uint64(n/2+1))
	for k := range n {
		if float64(found) >= wanted {
			break
		}
		r := s.byFreeCores[(start+k)%n]
		if !s.unqueried(st, r) {
			continue
		}
		if copies := need.Copies(s.roomNow(st, r, runtime), limit); copies > 0 {
			refs = append(refs, r.ref())
			found += copies
		}
	}
	return refs
}
