package scheduler

import (
	"sort"
	"time"
)

// maxClaimedShare is the share of a service's runners that gangs may gather room on at the same time.
const maxClaimedShare = 0.5

// placeGang holds room for all tasks of a gang, or gathers it on a set of runners.
func (s *Scheduler) placeGang(st *stage, runners []*runner) {
	if !st.idle() {
		return
	}
	candidates := s.candidates(st, runners)
	chosen := s.gangRoom(st, candidates, false)
	if chosen == nil {
		if !s.preemptFor(st, candidates) {
			s.claim(st, candidates, runners)
		}
		return
	}
	s.holdGang(st, chosen)
	s.startHeld(st)
}

// holdGang charges the room of all members. They share the number of their run.
func (s *Scheduler) holdGang(st *stage, slots []gangSlot) {
	st.claim, st.roomBy = nil, 0
	number := 0
	for _, t := range st.tasks {
		number = max(number, s.nextRun(t))
	}
	next := 0
	for _, slot := range slots {
		for range slot.count {
			s.hold(st.tasks[next], slot.runner, number)
			next++
		}
	}
}

type gangSlot struct {
	runner *runner
	count  int
}

// gangRoom spreads a gang over runners with room; nil if it doesn't fit. With whole, all room of the runners counts,
// also what others use now.
func (s *Scheduler) gangRoom(st *stage, candidates []*runner, whole bool) []gangSlot {
	if !st.step.SameRack {
		return s.fill(st, candidates, whole)
	}
	racks := map[string][]*runner{}
	var order []string
	for _, r := range candidates {
		if racks[r.Rack] == nil {
			order = append(order, r.Rack)
		}
		racks[r.Rack] = append(racks[r.Rack], r)
	}
	for _, rack := range order {
		if slots := s.fill(st, racks[rack], whole); slots != nil {
			return slots
		}
	}
	return s.fill(st, candidates, whole) // slower over several racks, but it runs
}

// fill takes the runners with the most room first, so that a gang touches few of them.
func (s *Scheduler) fill(st *stage, candidates []*runner, whole bool) []gangSlot {
	need := st.step.Reserved()
	var slots []gangSlot
	for _, r := range candidates {
		if !whole && r.claimedBy != nil && r.claimedBy != st {
			continue
		}
		room := r.free()
		if whole {
			room = r.Capacity
			s.estimateEmpty(r)
		}
		limit := st.perRunner(len(st.tasks))
		if r.health.probing {
			limit = min(limit, 1)
		}
		if n := need.Copies(room, limit); n > 0 {
			slots = append(slots, gangSlot{r, n})
		}
	}
	sort.SliceStable(slots, func(i, k int) bool {
		a, b := slots[i], slots[k]
		if whole && a.runner.emptyAt != b.runner.emptyAt {
			return a.runner.emptyAt < b.runner.emptyAt // soonest free
		}
		return a.count > b.count
	})
	left := len(st.tasks)
	for i := range slots {
		slots[i].count = min(slots[i].count, left)
		left -= slots[i].count
		if left == 0 {
			return slots[:i+1]
		}
	}
	return nil
}

// claim gathers room for a gang: less urgent stages get nothing on the claimed runners until it has started.
func (s *Scheduler) claim(st *stage, candidates, runners []*runner) {
	usable := map[*runner]bool{}
	claimed := 0
	for _, r := range candidates {
		usable[r] = r.claimedBy == nil
	}
	for _, r := range runners {
		if r.claimedBy != nil {
			claimed++
		}
	}
	if !s.claimHolds(st, usable) {
		st.claim = nil
		var free []*runner
		for _, r := range candidates {
			if usable[r] {
				free = append(free, r)
			}
		}
		for _, slot := range s.gangRoom(st, free, true) {
			st.claim = append(st.claim, slot.runner)
		}
	}
	if claimed > 0 && float64(claimed+len(st.claim)) > maxClaimedShare*float64(len(runners)) {
		return
	}
	ready := s.now
	for _, r := range st.claim {
		s.estimateEmpty(r)
		ready = max(ready, r.emptyAt)
	}
	for _, r := range st.claim {
		r.claimedBy = st
		r.claimReady = ready
	}
}

// estimateEmpty notes when the runs on a runner are expected to have ended, once a pass.
func (s *Scheduler) estimateEmpty(r *runner) {
	if r.estimated == s.passes {
		return
	}
	r.estimated = s.passes
	r.emptyAt = s.now
	for _, x := range r.runs {
		r.emptyAt = max(r.emptyAt, s.expectedEnd(x))
	}
}

// mayUse reports whether a stage may place a task of the given length on a runner: on one that a gang gathers room on
// only what ends before the gang can start.
func (s *Scheduler) mayUse(st *stage, r *runner, runtime time.Duration) bool {
	return r.claimedBy == nil || r.claimedBy == st || s.now+runtime < r.claimReady
}

// claimHolds reports whether the runners claimed before can still be used.
func (s *Scheduler) claimHolds(st *stage, usable map[*runner]bool) bool {
	for _, r := range st.claim {
		if !usable[r] {
			return false
		}
	}
	return len(st.claim) > 0
}

// startGang starts all members once all tickets are valid.
func (s *Scheduler) startGang(st *stage) {
	for _, t := range st.tasks {
		if t.current == nil || t.current.state != runHeld {
			return
		}
	}
	for _, t := range st.tasks {
		s.start(t.current, "gang complete")
	}
}

// breakGang stops the other members of a gang of which one has ended.
func (s *Scheduler) breakGang(st *stage, ended *run, reason string) {
	for _, t := range st.tasks {
		if t.current != nil && t.current != ended {
			s.stop(t.current, reason)
		}
	}
}

// breakPartialGang stops the members of a gang that is not whole, as a new owner may find it.
func (s *Scheduler) breakPartialGang(st *stage) {
	present, number, mixed := 0, 0, false
	for _, t := range st.tasks {
		if t.current == nil {
			continue
		}
		present++
		mixed = mixed || number != 0 && t.current.number != number
		number = t.current.number
	}
	if present > 0 && (mixed || present < len(st.tasks)) {
		s.breakGang(st, nil, "the gang is not whole")
	}
}
