package pool

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// maxPlanned bounds the grants planned for one class in one call, so that a
	// call stays short in a large pool.
	maxPlanned = 16
	// starveAfter is how long work may be passed by while smaller work of the
	// same urgency takes the room. Then an endpoint is kept for it.
	starveAfter = time.Second
	// stopRepeat is the interval of repeated stop orders to the same attempt.
	stopRepeat = time.Second
	// preemptPoll is the interval of session calls to an endpoint that was
	// ordered to end a task. The regular interval would use up the wait of urgent work.
	preemptPoll = 200 * time.Millisecond
)

// preempt makes room for work that waits: it keeps endpoints for it and orders
// less urgent idempotent tasks to be throttled, then checkpointed, then stopped.
// Runners have no such orders; requests there are bounded by limits and reserves.
func (p *Pool) preempt(now time.Time) {
	waiting := p.waitingForRoom(now)
	if len(waiting) == 0 && len(p.victims) == 0 && p.earmarked == 0 {
		return
	}
	p.startPlan()
	for _, c := range waiting {
		p.planClass(now, c)
	}
	p.finishPlan()
	p.relax(now)
	p.escalate(now)
}

// waitingForRoom returns the classes that wait for room, in order of service.
func (p *Pool) waitingForRoom(now time.Time) []*demandClass {
	if isRunnerPool(p.id) {
		return nil
	}
	var out []*demandClass
	for _, c := range p.classOrder {
		if c.wanted == 0 || c.since.IsZero() || now.Sub(c.since) < p.cfg.ThrottleAfter || !p.couldFit(c) {
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

// startPlan counts the room that victims are about to leave as free.
func (p *Pool) startPlan() {
	p.victims = slices.DeleteFunc(p.victims, func(a *attemptState) bool {
		return a.endpoint.attempts[a.id] != a
	})
	for _, e := range p.ordered {
		e.planned, e.yielded = e.free(), model.Resources{}
		e.formerEarmark, e.earmark = e.earmark, nil
	}
	for _, a := range p.victims {
		a.endpoint.credit(a.resources)
	}
	p.starving = false
}

// finishPlan has blocked classes tried again when other endpoints are kept now.
func (p *Pool) finishPlan() {
	p.earmarked = 0
	for _, e := range p.ordered {
		if e.earmark != nil {
			p.earmarked++
		}
		if e.earmark != e.formerEarmark {
			p.version++
		}
		e.formerEarmark = nil
	}
}

// planClass plans the waiting grants of a class, each in full or not at all.
func (p *Pool) planClass(now time.Time, c *demandClass) {
	t := c.template
	for i := range min(c.wanted, maxPlanned) {
		use := t.charged.Add(c.need.Scale(int64(i + 1)))
		if i > 0 && use.DominantShare(p.total()) > t.FloodShare+shareSlack {
			return
		}
		if !p.planGrant(now, c) {
			p.keepForStarving(now, c)
			return
		}
	}
}

// planGrant plans one grant.
func (p *Pool) planGrant(now time.Time, c *demandClass) bool {
	var steps []planStep
	for range c.key.tasks {
		step, ok := p.planTask(c)
		if !ok {
			undoSteps(steps, c.key.resources)
			return false
		}
		step.apply(c.key.resources)
		steps = append(steps, step)
	}
	for _, step := range steps {
		step.endpoint.keepFor(c)
		for _, a := range step.victims {
			p.throttle(now, a)
		}
	}
	return true
}

// planTask finds the endpoint for one task: one with room, else the one where
// the fewest and least urgent tasks have to go.
func (p *Pool) planTask(c *demandClass) (planStep, bool) {
	var best planStep
	found := false
	for _, e := range p.ordered {
		if !e.active || !c.key.resources.Fits(e.capacity) || e.keptAgainst(c) {
			continue
		}
		step, ok := planOn(e, c)
		if ok && (!found || step.cheaper(best)) {
			best, found = step, true
		}
	}
	return best, found
}

// planOn returns how a task of the class could be placed on the endpoint. Work
// held back by the reserves of others has room only where victims make it.
func planOn(e *endpointState, c *demandClass) (planStep, bool) {
	step := planStep{endpoint: e, former: e.formerEarmark == c}
	room := e.planned
	if c.blocked == blockedReserve {
		room = minResources(e.planned, e.yielded)
	}
	need := c.key.resources
	if need.Fits(room) {
		return step, true
	}
	for _, a := range victimsOn(e, c) {
		if need.Fits(room) {
			break
		}
		room = room.Add(a.resources)
		step.victims = append(step.victims, a)
	}
	if !need.Fits(room) {
		return step, false
	}
	step.prune(room, need)
	return step, true
}

// victimsOn returns the tasks that may have to go for the class, least urgent
// first, then those that free most, then the youngest.
func victimsOn(e *endpointState, c *demandClass) []*attemptState {
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
		fa, fb := a.resources.DominantShare(c.key.resources), b.resources.DominantShare(c.key.resources)
		if fa != fb {
			if fa > fb {
				return -1
			}
			return 1
		}
		return b.begun.Compare(a.begun)
	})
	return out
}

// keepForStarving keeps the endpoints that come closest to having room for one
// grant of a class that is passed by. One class at a time, so that keeping
// endpoints idle costs little packing.
func (p *Pool) keepForStarving(now time.Time, c *demandClass) {
	if p.starving || now.Sub(c.since) < starveAfter {
		return
	}
	p.starving = true
	near := make([]*endpointState, 0, len(p.ordered))
	for _, e := range p.ordered {
		if e.active && c.key.resources.Fits(e.capacity) && !e.keptAgainst(c) {
			near = append(near, e)
		}
	}
	slices.SortStableFunc(near, func(a, b *endpointState) int {
		return closerTo(c, a, b)
	})
	tasks := c.key.tasks
	for _, e := range near {
		if tasks <= 0 {
			return
		}
		e.keepFor(c)
		tasks -= copies(c.key.resources, e.capacity)
	}
}

// closerTo orders endpoints by how little room is missing for the class. An
// endpoint that was kept for the class stays first, so that its room adds up.
func closerTo(c *demandClass, a, b *endpointState) int {
	if ka, kb := a.formerEarmark == c, b.formerEarmark == c; ka != kb {
		if ka {
			return -1
		}
		return 1
	}
	missing := func(e *endpointState) float64 {
		short := maxResources(model.Resources{}, c.key.resources.Sub(e.planned))
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

// relax lets victims run freely again whose room is not needed any more.
func (p *Pool) relax(now time.Time) {
	for i := len(p.victims) - 1; i >= 0; i-- {
		a := p.victims[i]
		if a.stage != stageThrottled || !a.resources.Fits(a.endpoint.planned) {
			continue
		}
		a.endpoint.planned = a.endpoint.planned.Sub(a.resources)
		a.stage = stageNone
		p.victims = append(p.victims[:i], p.victims[i+1:]...)
		p.order(CommandUnthrottle, a)
	}
}

func (p *Pool) throttle(now time.Time, a *attemptState) {
	a.stage, a.stageAt = stageThrottled, now
	p.victims = append(p.victims, a)
	p.order(CommandThrottle, a)
}

// escalate moves victims that still run to the next stage.
func (p *Pool) escalate(now time.Time) {
	for _, a := range p.victims {
		age := now.Sub(a.stageAt)
		switch {
		case a.stage == stageThrottled && age >= p.cfg.CheckpointAfter-p.cfg.ThrottleAfter:
			a.stage, a.stageAt = stageCheckpointed, now
			p.order(CommandCheckpoint, a)
		case a.stage == stageCheckpointed && age >= p.cfg.StopAfter-p.cfg.CheckpointAfter:
			a.stage, a.stageAt = stageStopped, now
			p.order(CommandStop, a)
		case a.stage == stageStopped && age >= stopRepeat:
			a.stageAt = now
			p.order(CommandStop, a)
		}
		if a.stage > stageThrottled && now.Sub(a.endpoint.calledAt) >= preemptPoll && now.Sub(a.endpoint.lastSent) >= preemptPoll {
			p.poll(a.endpoint)
		}
	}
}

func (p *Pool) order(kind CommandKind, a *attemptState) {
	p.pending.Commands = append(p.pending.Commands, Command{
		Kind: kind, Endpoint: a.endpoint.id, Attempt: a.id, Token: p.token,
	})
	p.event("preempt-"+string(kind), a.id, a.endpoint.id)
}

// clearEarmarks gives up the endpoints that are kept for a class.
func (p *Pool) clearEarmarks(c *demandClass) {
	for _, e := range p.ordered {
		if e.earmark == c {
			e.earmark = nil
			p.version++
		}
	}
}
