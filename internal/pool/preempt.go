package pool

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// maxPlannedGrants bounds the grants planned for one class per Tick, which
	// limits the duration of the call in a large pool.
	maxPlannedGrants = 16
	// starveAfter is how long a class may wait for capacity that preemption can't
	// free, for example because smaller work of the same urgency takes it. Then
	// endpoints are reserved for it.
	starveAfter = time.Second
	// stopRetryInterval is the interval of repeated stop commands to the same attempt.
	stopRetryInterval = time.Second
	// preemptPollInterval is the interval of session calls to an endpoint that was
	// told to end a task. The regular interval would add too much to the wait of
	// urgent work.
	preemptPollInterval = 200 * time.Millisecond
)

// preempt frees capacity for waiting work: it reserves endpoints for that work and
// has less urgent idempotent tasks throttled, then checkpointed, then stopped.
// Runners don't support these commands; requests there are bounded by limits and
// reserves.
func (p *Pool) preempt(now time.Time) {
	waiting := p.waitingForCapacity(now)
	if len(waiting) == 0 && len(p.preempting) == 0 && p.reservedEndpoints == 0 {
		return
	}
	p.startPlan()
	for _, c := range waiting {
		p.planClass(now, c)
	}
	p.finishPlan()
	p.unthrottleUnneeded(now)
	p.escalate(now)
}

// waitingForCapacity returns the classes that have waited for capacity for at least
// ThrottleAfter and would fit an empty pool, in scheduling order. Runner pools have
// none.
func (p *Pool) waitingForCapacity(now time.Time) []*demandClass {
	if isRunnerPool(p.id) {
		return nil
	}
	var out []*demandClass
	for _, c := range p.classOrder {
		if c.grantsNeeded == 0 || c.blockedSince.IsZero() || now.Sub(c.blockedSince) < p.cfg.ThrottleAfter || !p.fitsEmptyPool(c) {
			continue
		}
		out = append(out, c)
	}
	total := p.total()
	slices.SortStableFunc(out, func(a, b *demandClass) int {
		switch {
		case precedes(a, b, total):
			return -1
		case precedes(b, a, total):
			return 1
		}
		return 0
	})
	return out
}

// startPlan resets the plan. It counts the capacity of attempts that are being
// preempted as free.
func (p *Pool) startPlan() {
	p.preempting = slices.DeleteFunc(p.preempting, func(a *attemptState) bool {
		return a.endpoint.attempts[a.id] != a
	})
	for _, e := range p.ordered {
		e.plannedFree, e.preemptedFree = e.free(), model.Resources{}
		e.prevReservedFor, e.reservedFor = e.reservedFor, nil
	}
	for _, a := range p.preempting {
		a.endpoint.planRelease(a.resources)
	}
	p.starvingReserved = false
}

// finishPlan counts the reserved endpoints. If reservations have changed, it
// advances the version so that blocked classes are tried again.
func (p *Pool) finishPlan() {
	p.reservedEndpoints = 0
	for _, e := range p.ordered {
		if e.reservedFor != nil {
			p.reservedEndpoints++
		}
		if e.reservedFor != e.prevReservedFor {
			p.version++
		}
		e.prevReservedFor = nil
	}
}

// planClass plans the waiting grants of a class, each in full or not at all.
func (p *Pool) planClass(now time.Time, c *demandClass) {
	t := c.template
	for i := range min(c.grantsNeeded, maxPlannedGrants) {
		use := t.charged.Add(c.need.Scale(int64(i + 1)))
		if i > 0 && use.DominantShare(p.total()) > t.FloodShare+shareTolerance {
			return
		}
		if !p.planGrant(now, c) {
			p.reserveForStarving(now, c)
			return
		}
	}
}

// planGrant plans one grant.
func (p *Pool) planGrant(now time.Time, c *demandClass) bool {
	var plans []taskPlan
	for range c.key.tasks {
		plan, ok := p.planTask(c)
		if !ok {
			undoPlans(plans, c.key.resources)
			return false
		}
		plan.apply(c.key.resources)
		plans = append(plans, plan)
	}
	for _, plan := range plans {
		plan.endpoint.reserveFor(c)
		for _, a := range plan.preempt {
			p.throttle(now, a)
		}
	}
	return true
}

// planTask finds the endpoint for one task: one with enough free capacity if
// there is one, otherwise the one where the least urgent and the fewest tasks have
// to be preempted.
func (p *Pool) planTask(c *demandClass) (taskPlan, bool) {
	var best taskPlan
	found := false
	for _, e := range p.ordered {
		if !e.active || !c.key.resources.Fits(e.capacity) || e.reservedForOther(c) {
			continue
		}
		plan, ok := planOn(e, c)
		if ok && (!found || plan.lessDisruptive(best)) {
			best, found = plan, true
		}
	}
	return best, found
}

// planOn returns how a task of the class could be placed on the endpoint. Work
// that is blocked by the reserves of others may use only capacity that preemption
// frees.
func planOn(e *endpointState, c *demandClass) (taskPlan, bool) {
	plan := taskPlan{endpoint: e, wasReserved: e.prevReservedFor == c}
	free := e.plannedFree
	if c.blocked == blockedReserve {
		free = minResources(e.plannedFree, e.preemptedFree)
	}
	need := c.key.resources
	if need.Fits(free) {
		return plan, true
	}
	for _, a := range preemptionCandidates(e, c) {
		if need.Fits(free) {
			break
		}
		free = free.Add(a.resources)
		plan.preempt = append(plan.preempt, a)
	}
	if !need.Fits(free) {
		return plan, false
	}
	plan.dropUnneeded(free, need)
	return plan, true
}

// preemptionCandidates returns the attempts on the endpoint that the class may
// preempt: least urgent first, then those that free the most, then the youngest.
func preemptionCandidates(e *endpointState, c *demandClass) []*attemptState {
	var out []*attemptState
	for _, a := range sortedAttempts(e) {
		if a.preemptable(c.template.Urgency) {
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b *attemptState) int {
		if a.template.Urgency != b.template.Urgency {
			return a.template.Urgency - b.template.Urgency
		}
		sa, sb := a.resources.DominantShare(c.key.resources), b.resources.DominantShare(c.key.resources)
		if sa != sb {
			if sa > sb {
				return -1
			}
			return 1
		}
		return b.createdAt.Compare(a.createdAt)
	})
	return out
}

// reserveForStarving reserves the endpoints that come closest to fitting one grant
// of a class that has waited for capacity for starveAfter. It serves one class at
// a time, because reserved endpoints stay partly idle and reduce utilization.
func (p *Pool) reserveForStarving(now time.Time, c *demandClass) {
	if p.starvingReserved || now.Sub(c.blockedSince) < starveAfter {
		return
	}
	p.starvingReserved = true
	near := make([]*endpointState, 0, len(p.ordered))
	for _, e := range p.ordered {
		if e.active && c.key.resources.Fits(e.capacity) && !e.reservedForOther(c) {
			near = append(near, e)
		}
	}
	slices.SortStableFunc(near, func(a, b *endpointState) int {
		return compareShortfall(c, a, b)
	})
	tasks := c.key.tasks
	for _, e := range near {
		if tasks <= 0 {
			return
		}
		e.reserveFor(c)
		tasks -= tasksThatFit(c.key.resources, e.capacity)
	}
}

// compareShortfall orders endpoints by how little capacity is missing for a task
// of the class. Endpoints already reserved for the class come first, so that the
// capacity freed on them accumulates.
func compareShortfall(c *demandClass, a, b *endpointState) int {
	if ra, rb := a.prevReservedFor == c, b.prevReservedFor == c; ra != rb {
		if ra {
			return -1
		}
		return 1
	}
	missing := func(e *endpointState) float64 {
		short := maxResources(model.Resources{}, c.key.resources.Sub(e.plannedFree))
		return short.DominantShare(e.capacity)
	}
	switch ma, mb := missing(a), missing(b); {
	case ma < mb:
		return -1
	case ma > mb:
		return 1
	}
	return 0
}

// unthrottleUnneeded unthrottles attempts whose capacity is no longer needed.
func (p *Pool) unthrottleUnneeded(now time.Time) {
	for i := len(p.preempting) - 1; i >= 0; i-- {
		a := p.preempting[i]
		if a.stage != stageThrottled || !a.resources.Fits(a.endpoint.plannedFree) {
			continue
		}
		a.endpoint.plannedFree = a.endpoint.plannedFree.Sub(a.resources)
		a.stage = stageNone
		p.preempting = append(p.preempting[:i], p.preempting[i+1:]...)
		p.queueCommand(CommandUnthrottle, a)
	}
}

func (p *Pool) throttle(now time.Time, a *attemptState) {
	a.stage, a.stageAt = stageThrottled, now
	p.preempting = append(p.preempting, a)
	p.queueCommand(CommandThrottle, a)
}

// escalate moves attempts that are still running to the next stage of preemption.
func (p *Pool) escalate(now time.Time) {
	for _, a := range p.preempting {
		age := now.Sub(a.stageAt)
		switch {
		case a.stage == stageThrottled && age >= p.cfg.CheckpointAfter-p.cfg.ThrottleAfter:
			a.stage, a.stageAt = stageCheckpointed, now
			p.queueCommand(CommandCheckpoint, a)
		case a.stage == stageCheckpointed && age >= p.cfg.StopAfter-p.cfg.CheckpointAfter:
			a.stage, a.stageAt = stageStopped, now
			p.queueCommand(CommandStop, a)
		case a.stage == stageStopped && age >= stopRetryInterval:
			a.stageAt = now
			p.queueCommand(CommandStop, a)
		}
		if a.stage > stageThrottled && now.Sub(a.endpoint.sessionSentAt) >= preemptPollInterval && now.Sub(a.endpoint.lastReportSent) >= preemptPollInterval {
			p.requestPoll(a.endpoint)
		}
	}
}

func (p *Pool) queueCommand(kind CommandKind, a *attemptState) {
	p.pending.Commands = append(p.pending.Commands, Command{
		Kind: kind, Endpoint: a.endpoint.id, Attempt: a.id, Token: p.token,
	})
	p.addEvent("preempt-"+string(kind), a.id, a.endpoint.id)
}

// clearReservations cancels the reservations of endpoints for a class.
func (p *Pool) clearReservations(c *demandClass) {
	for _, e := range p.ordered {
		if e.reservedFor == c {
			e.reservedFor = nil
			p.version++
		}
	}
}
