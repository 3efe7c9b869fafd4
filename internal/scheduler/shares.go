package scheduler

import (
	"iter"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/fairshare"
	"github.com/agateyard/agateyard/internal/model"
)

// shareGroup orders the work of tenants while more is requested than fits.
type shareGroup int32

const (
	groupWithin  shareGroup = iota // of a tenant within its share, or without a tenant
	groupOver                      // of a tenant that has used more than its share
	groupExcess                    // submitted beyond its tenant's rate
	groupNoValue                   // added to the others for work without value
)

const (
	// contestedShare is the share of a resource above which requests count as more than fits. Gangs of 18 of 64 cores use
	// at most 84 % of a runner.
	contestedShare = 0.8
	// accountSeconds is the time of a tenant's fair share to which its account is bounded.
	accountSeconds = 10
	// shareInterval is the minimum interval between two updates of the accounts.
	shareInterval = 20 * time.Millisecond
	// shareLookahead is for how long what a tenant uses now counts in advance, about the run time of a task. Without it,
	// use swings around the share, as work that has started can't be taken back.
	shareLookahead = time.Second
)

// shares holds what decides between tenants. It is used only with at least one configured tenant.
type shares struct {
	contested    bool // more is requested than fits
	updatedAt    time.Duration
	capacity     model.Resources // of the usable runners
	arrivalRate  amounts         // requested a second by work other than excess, measured
	arrived      amounts         // requested since the last update
	excessBudget amounts         // what excess work may still take in this pass
	budgetPass   int             // pass of excessBudget
}

// updateShares updates the accounts of the tenants and decides which of them are over their share.
func (s *Scheduler) updateShares() {
	if !s.tenants.configured {
		return
	}
	if s.now-s.shares.updatedAt < shareInterval {
		for _, t := range s.tenants.sorted {
			t.over = s.isOver(t) // runs have ended since the last update
		}
		return
	}
	interval := s.now - s.shares.updatedAt
	s.shares.updatedAt = s.now
	s.updateArrivalRate(interval)
	s.updateContested()
	tenants := s.tenants.sorted
	demands := make([]fairshare.Demand, len(tenants))
	for i, t := range tenants {
		demands[i] = fairshare.Demand{Weight: t.shareWeight(), Amount: t.requested()}
	}
	fair := fairshare.Shares(s.shares.capacity, demands)
	scale := usableShare(tenants, fair, s.shares.capacity)
	for i, t := range tenants {
		t.updateAccount(s.shares.capacity, scale*fair[i], interval, s.shares.contested)
		t.over = s.isOver(t)
	}
}

// usableShare returns which part of the fair shares the tenants use together, at most 1. Starts take time and gangs leave
// gaps, so that all of the capacity is never in use. Accounts that earned it nevertheless would all rise to their bound,
// and no tenant would be over its share.
func usableShare(tenants []*tenantState, fair []float64, capacity model.Resources) float64 {
	var used, owed float64
	for i, t := range tenants {
		used += t.charged.DominantShare(capacity)
		owed += fair[i]
	}
	if owed == 0 {
		return 1
	}
	return min(used/owed, 1)
}

// requested returns what a tenant uses and what its waiting tasks request, at most its cap.
func (t *tenantState) requested() model.Resources {
	r := model.Resources{
		CoresMilli:   max(t.charged.CoresMilli, t.demand.tasks.CoresMilli),
		MemoryMB:     max(t.charged.MemoryMB, t.demand.tasks.MemoryMB),
		Accelerators: max(t.charged.Accelerators, t.demand.tasks.Accelerators),
	}
	if t.Cap.CoresMilli > 0 {
		r.CoresMilli = min(r.CoresMilli, t.Cap.CoresMilli)
	}
	if t.Cap.MemoryMB > 0 {
		r.MemoryMB = min(r.MemoryMB, t.Cap.MemoryMB)
	}
	if t.Cap.Accelerators > 0 {
		r.Accelerators = min(r.Accelerators, t.Cap.Accelerators)
	}
	return r
}

func (t *tenantState) updateAccount(capacity model.Resources, fair float64, interval time.Duration, contested bool) {
	t.fairShare = fair
	used := t.charged.DominantShare(capacity)
	if !contested {
		t.account.Decay(interval, fair)
		return
	}
	largest := t.demand.largest
	bound := max(accountSeconds*fair, largest.need.DominantShare(capacity)*largest.seconds)
	t.account.Update(interval, fair, used, bound)
}

// isOver reports whether a tenant is over its share.
func (s *Scheduler) isOver(t *tenantState) bool {
	return s.contested() && t.account.Projected(shareLookahead, t.fairShare, t.charged.DominantShare(s.shares.capacity)) < 0
}

// inShareOrder returns ranked stages in the order in which a pass places them. The stages of a tenant that comes over its
// share during the pass join those of the others over their share: one pass may place all that ends together.
func (s *Scheduler) inShareOrder(ranked []rankedStage) iter.Seq[rankedStage] {
	if !s.contested() {
		return slices.Values(ranked)
	}
	return func(yield func(rankedStage) bool) {
		for len(ranked) > 0 {
			group := ranked[0].group
			n := groupEnd(ranked, group)
			var deferred []rankedStage
			for _, entry := range ranked[:n] {
				if t := entry.stage.job.tenant; group%groupNoValue == groupWithin && t != nil && t.over {
					deferred = append(deferred, entry)
				} else if !yield(entry) {
					return
				}
			}
			ranked = ranked[n:]
			if len(deferred) == 0 {
				continue
			}
			n = groupEnd(ranked, group+1)
			deferred = append(deferred, ranked[:n]...)
			ranked = ranked[n:]
			sortByUrgency(deferred)
			for _, entry := range deferred {
				if !yield(entry) {
					return
				}
			}
		}
	}
}

// groupEnd returns how many of the first stages are of the given group.
func groupEnd(ranked []rankedStage, group shareGroup) int {
	n := 0
	for n < len(ranked) && ranked[n].group == group {
		n++
	}
	return n
}

// updateContested decides whether more is requested than fits: by tenants, and what runs without one.
func (s *Scheduler) updateContested() {
	var used, charged, wanted, capacity model.Resources
	for _, r := range s.byFreeCores {
		capacity, used = capacity.Add(r.Capacity), used.Add(r.used)
	}
	for _, t := range s.tenants.byName {
		charged, wanted = charged.Add(t.charged), wanted.Add(t.requested())
	}
	for other, r := amountsOf(used.Sub(charged)), 0; r < len(other); r++ {
		total := amountsOf(capacity)[r]
		if total > 0 && amountsOf(wanted)[r]+max(other[r], 0) > contestedShare*total {
			s.shares.contested, s.shares.capacity = true, capacity
			return
		}
	}
	s.shares.contested, s.shares.capacity = false, capacity
}

// recordArrival adds what a stage requests to the measured requests of work other than excess.
func (s *Scheduler) recordArrival(st *stage) {
	if s.tenants.configured && !st.job.excess {
		s.shares.arrived.add(amountsOf(st.step.Reserved()), float64(len(st.tasks)-st.doneCount))
	}
}

func (s *Scheduler) updateArrivalRate(interval time.Duration) {
	weight := min(interval.Seconds()/arrivalWindow.Seconds(), 1)
	for r, arrived := range s.shares.arrived {
		s.shares.arrivalRate[r] += weight * (arrived/interval.Seconds() - s.shares.arrivalRate[r])
	}
	s.shares.arrived = amounts{}
}

// contested reports whether shares between tenants apply: more is requested than fits.
func (s *Scheduler) contested() bool { return s.tenants.configured && s.shares.contested }

// shareGroupOf returns the group of a stage. All work is in the first group unless shares apply.
func (s *Scheduler) shareGroupOf(st *stage, class urgencyClass) shareGroup {
	if !s.contested() {
		return groupWithin
	}
	group := groupWithin
	switch {
	case st.job.excess:
		group = groupExcess
	case st.job.tenant != nil && st.job.tenant.over:
		group = groupOver
	}
	if class == classNoValue {
		group += groupNoValue
	}
	return group
}

// isLimitedExcess reports whether a stage is excess work while shares apply.
func (s *Scheduler) isLimitedExcess(st *stage) bool { return st.job.excess && s.contested() }

// excessMayTake reports whether excess work may take capacity for a number of tasks: other work is expected to request
// the rest of each resource within excessHeadroom.
func (s *Scheduler) excessMayTake(st *stage, count int) bool {
	if !s.isLimitedExcess(st) {
		return true
	}
	if s.shares.budgetPass != s.passCount {
		s.shares.budgetPass = s.passCount
		s.shares.excessBudget = amounts{}
		for _, r := range s.byFreeCores {
			s.shares.excessBudget.add(amountsOf(r.free().Max(model.Resources{})), 1)
		}
		s.shares.excessBudget.add(s.shares.arrivalRate, -excessHeadroom.Seconds())
	}
	for r, need := range amountsOf(st.step.Reserved()) {
		if need > 0 && need*float64(count) > s.shares.excessBudget[r] {
			return false
		}
	}
	return true
}

// outranks reports whether a stage may preempt runs of another one. While shares apply, work within its share may preempt
// work over its share whatever the priorities, and never the other way round.
func (s *Scheduler) outranks(preemptor rankedStage, st *stage) bool {
	if s.contested() {
		own, other := s.shareGroupOf(preemptor.stage, classOnTime), s.shareGroupOf(st, classOnTime)
		if own != other {
			return own < other && own == groupWithin
		}
	}
	return st.job.queue.Priority > preemptor.stage.job.queue.Priority
}
