package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// maxUnplacedStages is the number of consecutive stages without any effect after which a pass ends, unless it is one
	// over all stages: the fleet is full, and the remaining stages are less urgent.
	maxUnplacedStages = 100
	// fullPassInterval is the interval of passes over all stages, as small tasks may fit where more urgent ones don't.
	fullPassInterval = 100 * time.Millisecond
)

// Pass places waiting tasks on runners, most urgent stages first.
func (s *Scheduler) Pass() {
	if !s.needsPass {
		return
	}
	s.needsPass = false
	s.passCount++
	clear(s.adviceRefusals)
	s.startBacklog.ready = 0
	s.claimed = 0
	s.reportLongWaits() // with the claims of the pass before
	runners := s.sortedRunners()
	for _, r := range runners {
		r.claimedBy = nil
	}
	awaitingInherited := s.awaitsInheritedRunners()
	switch {
	case !s.tenants.inheriting:
	case awaitingInherited:
		s.updateUnreported()
	default:
		s.releaseInherited()
	}
	s.settleProbes(runners)
	s.updateFreeCapacity(runners)
	s.updateFreeServices(runners)
	s.load.setCapacity(runners)
	s.refreshSpeeds(runners)
	s.updateShares()
	s.updateIsolation()
	full := s.now-s.lastFullPass >= fullPassInterval
	if full {
		s.lastFullPass = s.now
	}
	for _, st := range s.openStages {
		s.startReserved(st) // reserved capacity is idle until the runs start
	}
	s.requestOverdueAdvice()
	unplaced := 0
	for entry := range s.inShareOrder(s.rank()) {
		before := len(s.effects)
		if !full && s.manyHeld(entry.stage) {
			continue
		}
		s.passStage(entry.stage, runners, awaitingInherited)
		placed := len(s.effects) > before
		if entry.stage.job.tenant != nil {
			s.reportWait(entry.stage, s.waitsForTenant(entry.stage))
		}
		if s.heldBack {
			s.countHeld(entry.stage)
			continue // a tenant at its cap says nothing about the capacity for the stages that follow
		}
		unplaced++
		if placed {
			unplaced = 0
		}
		if unplaced == maxUnplacedStages && !full {
			return
		}
	}
}

// updateFreeCapacity computes the largest free amount of each resource on any usable runner, a cheap filter that excludes
// most waiting stages, and sorts the usable runners by free cores.
func (s *Scheduler) updateFreeCapacity(runners []*runner) {
	s.maxFree = model.Resources{}
	s.byFreeCores = s.byFreeCores[:0]
	s.anyProbing = false
	clear(s.mostlyAccused)
	var used, capacity int64
	for _, r := range runners {
		if !r.usable() {
			continue
		}
		s.byFreeCores = append(s.byFreeCores, r)
		s.anyProbing = s.anyProbing || r.health.probing
		free := r.free()
		used, capacity = used+r.used.CoresMilli, capacity+r.Capacity.CoresMilli
		s.maxFree.CoresMilli = max(s.maxFree.CoresMilli, free.CoresMilli)
		s.maxFree.MemoryMB = max(s.maxFree.MemoryMB, free.MemoryMB)
		s.maxFree.Accelerators = max(s.maxFree.Accelerators, free.Accelerators)
	}
	wasMostlyFree := s.mostlyFree
	s.mostlyFree = 2*used <= capacity
	if s.mostlyFree && !wasMostlyFree {
		s.mostlyFreeSince = s.now
	}
	slices.SortStableFunc(s.byFreeCores, func(x, y *runner) int { return cmp.Compare(y.free().CoresMilli, x.free().CoresMilli) })
}

// NeedsPass reports whether something has changed or Tick was called since the last pass.
func (s *Scheduler) NeedsPass() bool { return s.needsPass }

func (s *Scheduler) passStage(st *stage, runners []*runner, awaitingInherited bool) {
	s.heldBack = false
	if !st.open {
		return
	}
	if st.step.Gang && !awaitingInherited {
		s.stopPartialGang(st)
	}
	if len(st.advice.recordedEligible) > 0 && s.fleetReported() {
		s.restoreAdvice(st)
	}
	waiting := st.waitingTasks()
	if waiting == 0 {
		s.recordPlaced(st)
	}
	s.updateLoad(st, waiting)
	if waiting == 0 {
		s.prefetchAdvice(st)
		return
	}
	st.apart = s.isKeptApart(st)
	s.updateSharing(st)
	s.updateLacksSound(st)
	if waiting = s.startableTasks(st); waiting == 0 {
		return // all restart later
	}
	if !st.job.stored || st.job.inherited && awaitingInherited {
		if st.advice.requests == 0 && s.mayCharge(st, 1) && !s.awaitsStarts(st, waiting) {
			s.requestAdvice(st, waiting) // overlaps the call with the write of the acceptance
		}
		return
	}
	if st.apart && s.giveUpCulprits(st) {
		return
	}
	if s.heldBack = !s.tenantAllows(st); s.heldBack {
		return
	}
	if st.step.Gang {
		s.placeGang(st, runners)
	} else {
		s.placeTasks(st, runners)
	}
	if waiting = s.startableTasks(st); waiting > 0 && !s.awaitsStarts(st, waiting) {
		s.requestAdvice(st, waiting)
	}
}

// candidates returns the runners that may take runs of the stage now, regardless of free capacity.
func (s *Scheduler) candidates(st *stage, runners []*runner) []*runner {
	out := s.candidateBuf[:0]
	if st.job.queue.Advice != nil {
		for _, e := range st.advice.eligible {
			if r := e.runner; e.incarnation == r.incarnation && s.feasible(st, r) && s.healthAdmits(st, r) {
				out = append(out, r)
			}
		}
		s.candidateBuf = out
		return out
	}
	for _, r := range runners {
		if s.feasible(st, r) && s.healthAdmits(st, r) {
			out = append(out, r)
		}
	}
	s.candidateBuf = out
	return out
}

// feasible reports whether a runner's service, state and labels allow it to run the stage. Runners that are set apart take
// only stages with tasks that may crash them, and those that fit nowhere else.
func (s *Scheduler) feasible(st *stage, r *runner) bool {
	return r.usable() && r.Service == st.job.queue.Service && r.hasLabel(st.step.RequiredLabel) && (r.isolation == nil || st.apart || st.needsIsolated)
}

// approved reports whether the advice service has named the runner as eligible for the stage. Queues without advice
// approve every runner.
func (s *Scheduler) approved(st *stage, r *runner) bool {
	if st.job.queue.Advice == nil {
		return true
	}
	_, eligible := st.advice.ticketOf(r)
	return eligible
}

func (s *Scheduler) placeTasks(st *stage, runners []*runner) {
	need := st.step.Reserved()
	if !need.Fits(s.maxFree) || s.startBudget <= st.reservedCount {
		return // no runner has room, or the owner can't deliver more starts at present
	}
	candidates := s.candidates(st, runners)
	if len(candidates) == 0 {
		return
	}
	costs := s.speedCostsOf(st)
	for _, t := range st.tasks {
		if !t.waiting() || !t.crashIsDurable() || s.startsLater(t) {
			continue
		}
		if !s.mayCharge(st, 1) || !s.excessMayTake(st, 1) {
			break
		}
		if s.startBudget <= st.reservedCount {
			break // the owner can't deliver more starts at present
		}
		r, avoided := s.bestFit(st, t, need, candidates, costs)
		if r == nil && s.riskOf(t) == riskByTask {
			s.prepareIsolation(st, candidates)
			continue // a task that may crash its runner waits without holding back the others
		}
		if avoided {
			continue // others of the stage may run there
		}
		if r == nil {
			s.updateHeld(st, candidates)
			return
		}
		st.heldSince = 0
		if x := s.reserve(t, r, s.nextRunNumber(t)); x.risk != noRisk {
			s.setApart(r, x.risk)
		}
	}
	s.startReserved(st)
}

// startReserved starts the reserved runs of a stage whose tickets are valid and requests new tickets for the others. It
// starts a gang as a whole, and nothing before the preempted runs have ended.
func (s *Scheduler) startReserved(st *stage) {
	if st.reservedCount == 0 {
		return
	}
	// Runners may have started to drain, become unreachable or shrunk since the reservation.
	s.releaseReserved(st, "the runner is no longer usable", func(r *runner) bool {
		return !r.usable() || st.preemptionDeadline == 0 && !r.used.Fits(r.Capacity)
	})
	var reserved []*run
	for _, t := range st.tasks {
		if t.current != nil && t.current.state == runReserved {
			reserved = append(reserved, t.current)
		}
	}
	if len(reserved) == 0 {
		return
	}
	if !s.mayStartReserved(st) {
		s.releaseReserved(st, "the tenant is over its cap", matchAnyRunner)
		return
	}
	if !st.preemptedRunsEnded() {
		if s.now > st.preemptionDeadline {
			// All of them, as the capacity that is already free would stay idle.
			s.releaseReserved(st, "preempted runs did not end in time", matchAnyRunner)
		}
		return
	}
	if renew := s.staleTickets(st, reserved); len(renew) > 0 {
		s.renew(st, renew)
		if st.step.Gang {
			return
		}
	}
	if st.step.Gang {
		s.startGang(st)
		return
	}
	for _, x := range reserved {
		if s.ticketValid(st, x.runner, s.now) {
			s.start(x, "best fit")
		}
	}
}

// releaseReserved releases the reserved runs of a stage on the matching runners.
func (s *Scheduler) releaseReserved(st *stage, reason string, match func(*runner) bool) {
	for _, t := range st.tasks {
		if x := t.current; x != nil && x.state == runReserved && match(x.runner) {
			s.stop(x, reason)
		}
	}
}

func matchAnyRunner(*runner) bool { return true }

// staleTickets returns the runners for which to request new tickets: those of reserved runs whose tickets have expired,
// and others whose tickets are worth renewing in the same call. All members of a gang start together, so all its tickets
// have to stay valid until the call that renews any of them returns.
func (s *Scheduler) staleTickets(st *stage, reserved []*run) []RunnerRef {
	policy := st.job.queue.Advice
	if policy == nil {
		return nil
	}
	var stale, expiring []RunnerRef
	named := map[*runner]bool{}
	for _, x := range reserved {
		if named[x.runner] {
			continue
		}
		named[x.runner] = true
		ticket, _ := st.advice.ticketOf(x.runner)
		if !ticket.valid(s.now) {
			stale = append(stale, x.runner.ref())
		} else if !ticket.valid(s.now + policy.CallDuration(len(reserved)) + adviceLatency) {
			expiring = append(expiring, x.runner.ref())
		}
	}
	switch {
	case len(stale) == 0:
	case st.step.Gang:
		stale = append(stale, expiring...)
	default:
		stale = s.withOtherEligible(st, stale)
	}
	return stale
}

// maxRenewAllRatio limits the duration of a call that renews all tickets of a stage, relative to a call that renews
// only the required ones. Renewing all saves calls for the tasks that are placed next.
const maxRenewAllRatio = 1.5

// withOtherEligible adds the other eligible runners of a stage that has more tasks to place, if that takes little extra
// time.
func (s *Scheduler) withOtherEligible(st *stage, refs []RunnerRef) []RunnerRef {
	policy := st.job.queue.Advice
	if st.waitingTasks() == 0 || float64(policy.CallDuration(len(st.advice.eligible))) > maxRenewAllRatio*float64(policy.CallDuration(len(refs))) {
		return refs
	}
	named := map[string]bool{}
	for _, ref := range refs {
		named[ref.ID] = true
	}
	for _, e := range st.advice.eligible {
		r := e.runner
		if !named[r.ID] && len(refs) < maxAdviceRunners && s.feasible(st, r) && s.approved(st, r) {
			refs = append(refs, r.ref())
		}
	}
	return refs
}

// ticketValid reports whether the ticket for a runner is still valid for a start that is sent at the given time.
func (s *Scheduler) ticketValid(st *stage, r *runner, at time.Duration) bool {
	if st.job.queue.Advice == nil {
		return true
	}
	ticket, eligible := st.advice.ticketOf(r)
	return eligible && ticket.valid(at)
}
