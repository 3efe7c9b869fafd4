package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// maxBarren is how many stages in a row may get nothing before a pass ends: the fleet is full, and what comes later
	// is less urgent.
	maxBarren = 100
	// fullPassEvery is how often a pass looks at all stages, as small tasks may fit where more urgent ones don't.
	fullPassEvery = 100 * time.Millisecond
)

// Pass places waiting tasks on runners, the most urgent stages first.
func (s *Scheduler) Pass() {
	if !s.needsPass {
		return
	}
	s.needsPass = false
	s.passes++
	runners := s.sortedRunners()
	for _, r := range runners {
		r.claimedBy = nil
	}
	unknown := s.mayRunUnknown()
	s.measureFree(runners)
	full := s.now-s.lastFull >= fullPassEvery
	if full {
		s.lastFull = s.now
	}
	for _, st := range s.open {
		s.startHeld(st) // their room stands idle until they start
	}
	barren := 0
	for _, entry := range s.rank() {
		before := len(s.effects)
		s.passStage(entry.stage, runners, unknown)
		barren++
		if len(s.effects) > before {
			barren = 0
		}
		if barren == maxBarren && !full {
			return
		}
	}
}

// measureFree notes the most room of each kind that any runner has, which rules most waiting stages out at once.
func (s *Scheduler) measureFree(runners []*runner) {
	s.mostFree = model.Resources{}
	s.byRoom = s.byRoom[:0]
	var used, capacity int64
	for _, r := range runners {
		if !r.usable() {
			continue
		}
		s.byRoom = append(s.byRoom, r)
		free := r.free()
		used, capacity = used+r.used.CoresMilli, capacity+r.Capacity.CoresMilli
		s.mostFree.CoresMilli = max(s.mostFree.CoresMilli, free.CoresMilli)
		s.mostFree.MemoryMB = max(s.mostFree.MemoryMB, free.MemoryMB)
		s.mostFree.Accelerators = max(s.mostFree.Accelerators, free.Accelerators)
	}
	s.mostlyFree = 2*used <= capacity
	slices.SortStableFunc(s.byRoom, func(x, y *runner) int { return cmp.Compare(y.free().CoresMilli, x.free().CoresMilli) })
}

// NeedsPass reports whether something has changed since the last pass.
func (s *Scheduler) NeedsPass() bool { return s.needsPass }

func (s *Scheduler) passStage(st *stage, runners []*runner, unknown bool) {
	if !st.open {
		return
	}
	if st.step.Gang && !unknown {
		s.breakPartialGang(st)
	}
	if len(st.advice.remembered) > 0 && s.fleetGathered() {
		s.recall(st)
	}
	waiting := st.waitingTasks()
	if waiting == 0 {
		s.prefetchAdvice(st)
		return
	}
	if !st.job.stored || st.job.restored && unknown {
		if st.advice.calls == 0 {
			s.askAdvice(st, waiting) // the answer comes while the acceptance is being written
		}
		return
	}
	if st.step.Gang {
		s.placeGang(st, runners)
	} else {
		s.placeTasks(st, runners)
	}
	if waiting = st.waitingTasks(); waiting > 0 {
		s.askAdvice(st, waiting)
	}
}

// candidates returns the runners that may take runs of the stage now, whether or not there is room.
func (s *Scheduler) candidates(st *stage, runners []*runner) []*runner {
	out := s.scratch[:0]
	if st.job.queue.Advice != nil {
		for _, g := range st.advice.good {
			if r := g.runner; g.born == r.born && s.eligible(st, r) && r.health.admits(s.now) {
				out = append(out, r)
			}
		}
		s.scratch = out
		return out
	}
	for _, r := range runners {
		if s.eligible(st, r) && r.health.admits(s.now) {
			out = append(out, r)
		}
	}
	s.scratch = out
	return out
}

// eligible reports whether a runner may run the stage by its service, state and labels.
func (s *Scheduler) eligible(st *stage, r *runner) bool {
	return r.usable() && r.Service == st.job.queue.Service && r.hasLabel(st.step.RequiredLabel)
}

// allowed reports whether the advice service has named the runner as good for the stage.
func (s *Scheduler) allowed(st *stage, r *runner) bool {
	if st.job.queue.Advice == nil {
		return true
	}
	_, good := st.advice.ticketOf(r)
	return good
}

func (s *Scheduler) placeTasks(st *stage, runners []*runner) {
	need := st.step.Reserved()
	if !need.Fits(s.mostFree) {
		return
	}
	candidates := s.candidates(st, runners)
	if len(candidates) == 0 {
		return
	}
	for _, t := range st.tasks {
		if !t.waiting() {
			continue
		}
		r := s.bestFit(st, t, need, candidates)
		if r == nil {
			return
		}
		s.hold(t, r, s.nextRun(t))
	}
	s.startHeld(st)
}

// bestFit returns the runner on which the task leaves the least room unused; nil if there is none.
func (s *Scheduler) bestFit(st *stage, t *task, need model.Resources, candidates []*runner) *runner {
	var best *runner
	bestCost := int64(0)
	runtime := s.expectedRun(st)
	for _, r := range candidates {
		if !s.mayUse(st, r, runtime) || !need.Fits(r.free()) || !r.health.admits(s.now) {
			continue
		}
		if st.step.MaxPerRunner > 0 && st.runsOn(r) >= st.step.MaxPerRunner {
			continue
		}
		cost := r.free().CoresMilli - need.CoresMilli
		if st.job.queue.Priority == firstPriority {
			cost += int64(slowCost * r.speed.slowness())
		}
		if r.ID == t.avoid {
			cost += avoidCost
		}
		if st.step.DataRack != "" && st.step.DataRack != r.Rack {
			cost += farCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	if best != nil && best.ID == t.avoid && len(t.failed) > 0 && len(candidates) > 1 {
		return nil
	}
	return best
}

const (
	// avoidCost and farCost are added to the room left over, in thousandths of a core. They exceed the size of any
	// runner, so that such a runner is taken only if no other has room.
	avoidCost = 10_000_000
	farCost   = 1_000_000
	// slowCost is added for urgent work on a runner that is slower by a factor of e: 10 % of run time outweigh 3 cores.
	slowCost = 30_000
)

// startHeld starts the held runs of a stage whose tickets are valid and renews the others.
func (s *Scheduler) startHeld(st *stage) {
	if st.held == 0 {
		return
	}
	// They may have begun to leave or fallen silent meanwhile.
	s.releaseHeld(st, "the runner can't be used any more", func(r *runner) bool { return !r.usable() })
	var held []*run
	for _, t := range st.tasks {
		if t.current != nil && t.current.state == runHeld {
			held = append(held, t.current)
		}
	}
	if len(held) == 0 {
		return
	}
	if !st.roomIsFree() {
		if s.now > st.roomBy {
			s.releaseHeld(st, "preempted runs have not ended", anyRunner) // the rest stands idle
		}
		return
	}
	if renew := s.staleTickets(st, held); len(renew) > 0 {
		s.renew(st, renew)
		if st.step.Gang {
			return
		}
	}
	if st.step.Gang {
		s.startGang(st)
		return
	}
	for _, x := range held {
		if s.ticketValid(st, x.runner, s.now) {
			s.start(x, "best fit")
		}
	}
}

// releaseHeld gives back the room that a stage holds on the runners that match.
func (s *Scheduler) releaseHeld(st *stage, reason string, match func(*runner) bool) {
	for _, t := range st.tasks {
		if x := t.current; x != nil && x.state == runHeld && match(x.runner) {
			s.stop(x, reason)
		}
	}
}

func anyRunner(*runner) bool { return true }

// staleTickets returns the runners of held runs that need a new ticket. A gang starts at once, so that all its tickets
// have to outlive the call that renews one of them.
func (s *Scheduler) staleTickets(st *stage, held []*run) []RunnerRef {
	policy := st.job.queue.Advice
	if policy == nil {
		return nil
	}
	var stale, expiring []RunnerRef
	named := map[*runner]bool{}
	for _, x := range held {
		if named[x.runner] {
			continue
		}
		named[x.runner] = true
		ticket, _ := st.advice.ticketOf(x.runner)
		if !ticket.valid(s.now) {
			stale = append(stale, x.runner.ref())
		} else if !ticket.valid(s.now + policy.CallDuration(len(held)) + adviceTransit) {
			expiring = append(expiring, x.runner.ref())
		}
	}
	switch {
	case len(stale) == 0:
	case st.step.Gang:
		stale = append(stale, expiring...)
	default:
		stale = s.withOtherGood(st, stale)
	}
	return stale
}

// renewAllFactor is how much longer than needed a call may take to renew all tickets of a stage at once, which saves
// calls for the tasks that are placed next.
const renewAllFactor = 1.5

// withOtherGood adds the other good runners of a stage that has more tasks to place, if that costs little.
func (s *Scheduler) withOtherGood(st *stage, refs []RunnerRef) []RunnerRef {
	policy := st.job.queue.Advice
	if st.waitingTasks() == 0 || float64(policy.CallDuration(len(st.advice.good))) > renewAllFactor*float64(policy.CallDuration(len(refs))) {
		return refs
	}
	named := map[string]bool{}
	for _, ref := range refs {
		named[ref.ID] = true
	}
	for _, g := range st.advice.good {
		r := g.runner
		if !named[r.ID] && len(refs) < maxAdviceRunners && s.eligible(st, r) && s.allowed(st, r) {
			refs = append(refs, r.ref())
		}
	}
	return refs
}

// ticketValid reports whether a start that is sent to the runner at the given time needs no other ticket.
func (s *Scheduler) ticketValid(st *stage, r *runner, at time.Duration) bool {
	if st.job.queue.Advice == nil {
		return true
	}
	ticket, good := st.advice.ticketOf(r)
	return good && ticket.valid(at)
}
