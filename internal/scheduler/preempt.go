package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// preemptionInterval is the minimum interval between searches of a stage for runs to preempt. A search checks all
	// runs of the stage's eligible runners.
	preemptionInterval = 100 * time.Millisecond
	// preemptionLatency is the network latency of a stop's response and of the report of the run's end, on top of the
	// stop itself.
	preemptionLatency = 200 * time.Millisecond
	// minRunBeforePreemption is how long a run has to run before it may be preempted, so that work that is preempted
	// often still makes progress: starting and resuming a run takes about as long.
	minRunBeforePreemption = 400 * time.Millisecond
	// minRemainingForPreemption is the remaining run time below which waiting for the end is as fast as a preemption: a
	// stop takes up to 400 ms, plus its report.
	minRemainingForPreemption = 500 * time.Millisecond
	// minPreemptionSlack is the minimum slack of a job that is on time for its runs to be preempted: it has to wait for
	// capacity and request a ticket again.
	minPreemptionSlack = 3 * time.Second
)

// preemption is capacity for tasks on a runner, and the runs that have to be stopped to free it.
type preemption struct {
	placement gangPlacement
	preempted []*run
	cores     int64 // reserved by the preempted runs, in millicores
}

// preemptFor frees capacity for a whole gang by stopping less urgent runs that save checkpoints. It reserves the
// capacity at once, so that no other stage takes it, and reports whether it did. Tickets that would expire meanwhile
// are renewed first.
func (s *Scheduler) preemptFor(st *stage, candidates []*runner) bool {
	if st.step.SameRack || s.now < st.nextPreemption {
		return false
	}
	st.nextPreemption = s.now + preemptionInterval
	rank := s.rankOf(st)
	if rank.class == classNoValue {
		return false
	}
	options := s.preemptionOptions(st, rank, candidates)
	ticketed := slices.DeleteFunc(slices.Clone(options), func(p preemption) bool {
		return !s.ticketValid(st, p.placement.runner, s.now+s.maxPreemptionTime())
	})
	plan := s.planPreemption(st, rank, ticketed)
	if plan == nil {
		s.renewForPreemption(st, s.planPreemption(st, rank, options))
		return false
	}
	placements := make([]gangPlacement, 0, len(plan))
	for _, p := range plan {
		placements = append(placements, p.placement)
		for _, x := range p.preempted {
			s.stop(x, "preempted for "+st.id.String())
		}
	}
	s.reserveGang(st, placements)
	st.preemptionDeadline = s.now + s.maxPreemptionTime()
	return true
}

// maxPreemptionTime returns the maximum time until the capacity of preempted runs is free.
func (s *Scheduler) maxPreemptionTime() time.Duration {
	return s.cfg.StopTimeout + preemptionLatency
}

// preemptionOptions returns the possible preemption for a gang on each runner, fewest preempted cores per gang task
// first.
func (s *Scheduler) preemptionOptions(st *stage, rank rankedStage, candidates []*runner) []preemption {
	var options []preemption
	for _, r := range candidates {
		if r.claimedBy != nil && r.claimedBy != st {
			continue
		}
		if p := s.preemptionOn(st, rank, r, st.maxOnRunner(len(st.tasks))); p.placement.count > 0 {
			options = append(options, p)
		}
	}
	slices.SortStableFunc(options, func(a, b preemption) int {
		return cmp.Or(
			cmp.Compare(a.cores*int64(b.placement.count), b.cores*int64(a.placement.count)),
			cmp.Compare(b.placement.count, a.placement.count),
		)
	})
	return options
}

// planPreemption returns the first options that together provide capacity for all tasks of a gang, while runners differ in
// speed those on the fastest ones; nil if they don't suffice.
func (s *Scheduler) planPreemption(st *stage, rank rankedStage, options []preemption) []preemption {
	if s.fleetSpeed.unequal {
		options = fastestOptions(options, len(st.tasks))
	}
	left := len(st.tasks)
	for i, p := range options {
		if p.placement.count > left {
			p = s.preemptionOn(st, rank, p.placement.runner, left)
			options[i] = p
		}
		left -= p.placement.count
		if left == 0 {
			return options[:i+1]
		}
	}
	return nil
}

// preemptionOn returns the preemption that frees capacity for up to limit tasks of the stage on a runner. It selects the
// largest runs first, to stop few.
func (s *Scheduler) preemptionOn(st *stage, rank rankedStage, r *runner, limit int) preemption {
	need := st.step.Reserved()
	if r.health.probing {
		limit = min(limit, 1)
	}
	preemptible := r.sortedRuns(func(x *run) bool { return s.mayPreempt(x, rank) })
	slices.SortStableFunc(preemptible, func(x, y *run) int { return cmp.Compare(y.reserved.CoresMilli, x.reserved.CoresMilli) })
	available := r.free()
	allFree := available
	for _, x := range preemptible {
		allFree = allFree.Add(x.reserved)
	}
	p := preemption{placement: gangPlacement{runner: r, count: need.Copies(allFree, limit)}}
	wanted := need.Scale(int64(p.placement.count))
	for _, x := range preemptible {
		if wanted.Fits(available) {
			break
		}
		if !reducesShortage(x.reserved, wanted, available) {
			continue
		}
		available = available.Add(x.reserved)
		p.preempted = append(p.preempted, x)
		p.cores += x.reserved.CoresMilli
	}
	return p
}

// reducesShortage reports whether freeing the given resources provides some of the missing ones.
func reducesShortage(reserved, wanted, available model.Resources) bool {
	return reserved.CoresMilli > 0 && wanted.CoresMilli > available.CoresMilli ||
		reserved.MemoryMB > 0 && wanted.MemoryMB > available.MemoryMB ||
		reserved.Accelerators > 0 && wanted.Accelerators > available.Accelerators
}

// mayPreempt reports whether a run may be stopped for work of a queue with higher priority, or of a tenant within its
// share. The run must save
// checkpoints, so that no progress is lost, and its job must have enough slack or be late and no more urgent than the
// preemptor.
func (s *Scheduler) mayPreempt(x *run, preemptor rankedStage) bool {
	st := x.task.stage
	if x.state != runRunning || x.task.current != x || !st.step.Checkpoints || st.step.Gang || st.step.LongRunning {
		return false
	}
	if s.now-x.startSentAt < minRunBeforePreemption {
		return false
	}
	if left := s.expectedEnd(x) - s.now; left < minRemainingForPreemption && left >= -minLatePatience {
		return false // about to end; later than that, its end can't be expected
	}
	if !s.outranks(preemptor, st) {
		return false
	}
	rank := s.rankOf(st)
	if rank.class > classOnTime {
		return rank.class >= preemptor.class
	}
	return rank.due-s.now-st.remainingPath >= minPreemptionSlack
}

// renewForPreemption requests tickets that remain valid until the preemption is complete, before any run is stopped.
func (s *Scheduler) renewForPreemption(st *stage, plan []preemption) {
	if len(plan) == 0 || st.advice.pending > 0 || s.now < st.advice.retryAt {
		return
	}
	var refs []RunnerRef
	for _, p := range plan {
		refs = append(refs, p.placement.runner.ref())
	}
	s.sendAdviceRequest(st, refs[:min(len(refs), maxAdviceRunners)], false)
}

// preemptedRunsEnded reports whether the runs that were preempted for a stage's reserved runs have ended: no runner of
// the stage's runs has more reserved than its capacity.
func (st *stage) preemptedRunsEnded() bool {
	if st.preemptionDeadline == 0 {
		return true
	}
	for _, t := range st.tasks {
		if x := t.current; x != nil && !x.runner.used.Fits(x.runner.Capacity) {
			return false
		}
	}
	return true
}
