package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// preemptionInterval is how often a stage may look for runs to preempt: it has to look at all runs of its good runners.
	preemptionInterval = 100 * time.Millisecond
	// preemptionTransit is how long the answers to a stop and the report of the end travel, beyond the stop itself.
	preemptionTransit = 200 * time.Millisecond
	// leastPreemptedRun is how long a run has to have gone on before it may be preempted, so that work that is moved often
	// still gets on: a start and a resumption take about as long.
	leastPreemptedRun = 400 * time.Millisecond
	// leastPreemptedRest is the remaining run time below which it is as quick to wait for the end: a stop of up to 400 ms
	// and its report.
	leastPreemptedRest = 500 * time.Millisecond
	// preemptionSlack is how much time a job in time must have to spare to be preempted: it waits for room anew and asks for
	// a ticket.
	preemptionSlack = 3 * time.Second
)

// preemption is room for tasks on a runner, and the runs that have to end for it.
type preemption struct {
	slot    gangSlot
	victims []*run
	cores   int64 // of the victims, in thousandths
}

// preemptFor makes room for a whole gang by stopping less urgent runs that save their progress. It holds the room at once,
// so that nothing else takes it, and reports whether it did. Tickets that would lapse meanwhile are renewed first.
func (s *Scheduler) preemptFor(st *stage, candidates []*runner) bool {
	if st.step.SameRack || s.now < st.preemptAt {
		return false
	}
	st.preemptAt = s.now + preemptionInterval
	rank := s.rankOf(st)
	if rank.class == classHopeless {
		return false
	}
	options := s.preemptions(st, rank, candidates)
	ticketed := slices.DeleteFunc(slices.Clone(options), func(p preemption) bool {
		return !s.ticketValid(st, p.slot.runner, s.now+s.preemptionTime())
	})
	plan := s.planPreemption(st, rank, ticketed)
	if plan == nil {
		s.renewForPreemption(st, s.planPreemption(st, rank, options))
		return false
	}
	slots := make([]gangSlot, 0, len(plan))
	for _, p := range plan {
		slots = append(slots, p.slot)
		for _, victim := range p.victims {
			s.stop(victim, "preempted for "+st.id.String())
		}
	}
	s.holdGang(st, slots)
	st.roomBy = s.now + s.preemptionTime()
	return true
}

// preemptionTime is how long it takes at most until the room of preempted runs is free.
func (s *Scheduler) preemptionTime() time.Duration {
	return s.cfg.StopTimeout + preemptionTransit
}

// preemptions returns what could be preempted for a gang on each runner, what costs the least work first.
func (s *Scheduler) preemptions(st *stage, rank ranked, candidates []*runner) []preemption {
	var options []preemption
	for _, r := range candidates {
		if r.claimedBy != nil && r.claimedBy != st {
			continue
		}
		if p := s.preemptionOn(st, rank, r, st.perRunner(len(st.tasks))); p.slot.count > 0 {
			options = append(options, p)
		}
	}
	slices.SortStableFunc(options, func(a, b preemption) int {
		return cmp.Or(
			cmp.Compare(a.cores*int64(b.slot.count), b.cores*int64(a.slot.count)),
			cmp.Compare(b.slot.count, a.slot.count),
		)
	})
	return options
}

// planPreemption takes the first options that hold all tasks of a gang; nil if there is not enough room.
func (s *Scheduler) planPreemption(st *stage, rank ranked, options []preemption) []preemption {
	left := len(st.tasks)
	for i, p := range options {
		if p.slot.count > left {
			p = s.preemptionOn(st, rank, p.slot.runner, left)
			options[i] = p
		}
		left -= p.slot.count
		if left == 0 {
			return options[:i+1]
		}
	}
	return nil
}

// preemptionOn returns the fewest preemptions that make room for up to limit tasks of the stage on a runner.
func (s *Scheduler) preemptionOn(st *stage, rank ranked, r *runner, limit int) preemption {
	need := st.step.Reserved()
	if r.health.probing {
		limit = min(limit, 1)
	}
	victims := r.sortedRuns(func(x *run) bool { return s.mayPreempt(x, rank) })
	slices.SortStableFunc(victims, func(x, y *run) int { return cmp.Compare(y.charge.CoresMilli, x.charge.CoresMilli) })
	room := r.free()
	all := room
	for _, x := range victims {
		all = all.Add(x.charge)
	}
	p := preemption{slot: gangSlot{r, need.Copies(all, limit)}}
	wanted := need.Scale(int64(p.slot.count))
	for _, x := range victims {
		if wanted.Fits(room) {
			break
		}
		if !helps(x.charge, wanted, room) {
			continue
		}
		room = room.Add(x.charge)
		p.victims = append(p.victims, x)
		p.cores += x.charge.CoresMilli
	}
	return p
}

// helps reports whether a charge frees some of what is missing.
func helps(charge, wanted, room model.Resources) bool {
	return charge.CoresMilli > 0 && wanted.CoresMilli > room.CoresMilli ||
		charge.MemoryMB > 0 && wanted.MemoryMB > room.MemoryMB ||
		charge.Accelerators > 0 && wanted.Accelerators > room.Accelerators
}

// mayPreempt reports whether a run may be stopped for work of a more urgent queue: it loses nothing, as its progress is
// saved, and its job can afford to wait or is itself late.
func (s *Scheduler) mayPreempt(x *run, by ranked) bool {
	st := x.task.stage
	if x.state != runRunning || x.task.current != x || !st.step.Checkpoints || st.step.Gang || st.step.LongRunning {
		return false
	}
	if s.now-x.ordered < leastPreemptedRun || s.expectedEnd(x)-s.now < leastPreemptedRest {
		return false
	}
	if st.job.queue.Priority <= by.stage.job.queue.Priority {
		return false
	}
	victim := s.rankOf(st)
	if victim.class > classInTime {
		return victim.class >= by.class
	}
	return victim.due-s.now-st.rest >= preemptionSlack
}

// renewForPreemption asks for tickets that outlast the preemption, before room is made.
func (s *Scheduler) renewForPreemption(st *stage, plan []preemption) {
	if len(plan) == 0 || st.advice.pending > 0 || s.now < st.advice.retryAt {
		return
	}
	var refs []RunnerRef
	for _, p := range plan {
		refs = append(refs, p.slot.runner.ref())
	}
	s.ask(st, refs[:min(len(refs), maxAdviceRunners)], false)
}

// roomIsFree reports whether the runs that were preempted for a stage's held runs are over.
func (st *stage) roomIsFree() bool {
	if st.roomBy == 0 {
		return true
	}
	for _, t := range st.tasks {
		if x := t.current; x != nil && !x.runner.used.Fits(x.runner.Capacity) {
			return false
		}
	}
	return true
}
