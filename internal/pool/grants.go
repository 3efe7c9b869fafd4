package pool

import (
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/model"
)

// issueGrant issues a grant for the tasks charged to the endpoints of p.chosen.
func (p *Pool) issueGrant(now time.Time, key classKey, shardOwner string, ttl time.Duration) *issuedGrant {
	p.lastGrant++
	names := make([]string, len(p.chosen))
	instances := make([]string, len(p.chosen))
	for i, e := range p.chosen {
		names[i] = e.id
		instances[i] = e.instance
	}
	g := &issuedGrant{
		grant: model.Grant{
			ID: p.lastGrant, Pool: p.id, Owner: p.owner,
			Template: key.template, Resources: key.resources,
			Endpoints: names, Instances: instances, TTL: ttl,
		},
		shardOwner: shardOwner,
		template:   p.template(key.template),
		endpoints:  slices.Clone(p.chosen),
		expires:    now.Add(ttl),
	}
	for _, e := range g.endpoints {
		e.grants[g.grant.ID] = g
	}
	p.grants[g.grant.ID] = g
	p.openGrants = append(p.openGrants, g)
	if len(p.openGrants) == 1 || g.expires.Before(p.nextExpiry) {
		p.nextExpiry = g.expires
	}
	return g
}

// attachDemand links a grant to the demand that it serves.
func (p *Pool) attachDemand(g *issuedGrant, od *ownerDemand) {
	g.demand = od
	od.outstanding++
	od.class.refresh()
}

// Hold reserves capacity for one part of a gang that spans pools: for all tasks of
// the part or for none. It fails while more urgent work waits for capacity in
// this pool.
func (p *Pool) Hold(now time.Time, from string, template model.TemplateID, resources model.Resources, tasks int) (model.Grant, bool) {
	p.expireGrants(now)
	t := p.template(template)
	need := resources.Scale(int64(tasks))
	if tasks <= 0 || !t.known || p.moreUrgentWaiting(t.Urgency) {
		return model.Grant{}, false
	}
	if !p.withinFloodShare(t, need) || !p.respectsReserves(t, need) {
		return model.Grant{}, false
	}
	if !p.place(t, resources, tasks, nil) {
		return model.Grant{}, false
	}
	g := p.issueGrant(now, classKey{template: template, resources: resources, tasks: tasks}, from, p.cfg.HoldTTL)
	g.grant.Hold = true
	return g.grant, true
}

// moreUrgentWaiting reports whether more urgent work waits for capacity.
func (p *Pool) moreUrgentWaiting(urgency int) bool {
	for _, c := range p.classOrder {
		if c.grantsNeeded > 0 && c.blocked == blockedCapacity && c.template.Urgency > urgency && p.fitsEmptyPool(c) {
			return true
		}
	}
	return false
}

// fitsEmptyPool reports whether a grant of the class would fit if the pool were empty.
func (p *Pool) fitsEmptyPool(c *demandClass) bool {
	n := 0
	for _, e := range p.ordered {
		if !e.active {
			continue
		}
		if n += tasksThatFit(c.key.resources, e.capacity); n >= c.key.tasks {
			return true
		}
	}
	return false
}

// StartAttempts uses a grant and creates one attempt for each entry of its
// endpoints. The returned commands must be sent immediately. After
// ErrGrantInvalid nothing has started. A repeated dispatch gets
// ErrDuplicateAttempt: its attempts may have started.
func (p *Pool) StartAttempts(now time.Time, grantID uint64, attempts []model.AttemptID) ([]StartCommand, error) {
	if p.anyDuplicate(attempts) {
		return nil, ErrDuplicateAttempt
	}
	p.expireGrants(now)
	g := p.grants[grantID]
	if g == nil {
		return nil, ErrGrantInvalid
	}
	if !p.grantUsable(now, g) {
		p.revoke(now, g, false)
		return nil, ErrGrantInvalid
	}
	if len(attempts) != len(g.endpoints) || hasDuplicates(attempts) {
		p.revoke(now, g, false)
		return nil, oops.In("pool").With("attempts", len(attempts), "tasks", len(g.endpoints)).Wrap(ErrGrantInvalid)
	}
	p.closeGrant(g)
	starts := make([]StartCommand, len(attempts))
	for i, e := range g.endpoints {
		starts[i] = p.newAttempt(now, g, e, attempts[i])
	}
	p.updateDemand(g, true)
	return starts, nil
}

func (p *Pool) anyDuplicate(attempts []model.AttemptID) bool {
	for _, id := range attempts {
		if p.attempts[id] != nil || p.settled[id] != nil {
			return true
		}
	}
	return false
}

func hasDuplicates(attempts []model.AttemptID) bool {
	for i, id := range attempts {
		if slices.Contains(attempts[:i], id) {
			return true
		}
	}
	return false
}

// grantUsable reports whether every endpoint of the grant still accepts the
// start. Probes are the only grants that may use a quarantined endpoint.
func (p *Pool) grantUsable(now time.Time, g *issuedGrant) bool {
	for _, e := range g.endpoints {
		if !e.acceptsStarts(&p.cfg) || now.After(e.leaseUntil) || (e.health.quarantined && !g.probe) {
			return false
		}
		if !e.charged.Fits(e.capacity) {
			return false
		}
	}
	return true
}

// newAttempt turns one task of a grant into an attempt, which keeps the charge of
// the grant.
func (p *Pool) newAttempt(now time.Time, g *issuedGrant, e *endpointState, id model.AttemptID) StartCommand {
	a := &attemptState{
		id: id, shardOwner: g.shardOwner, endpoint: e, template: g.template, resources: g.grant.Resources,
		instance: e.instance, createdAt: now, startDeadline: now.Add(p.cfg.StartWindow + p.cfg.StartMargin),
		startInFlight: true, probe: g.probe,
	}
	p.attempts[id] = a
	e.attempts[id] = a
	return StartCommand{
		Attempt: id, Endpoint: e.id, Instance: e.instance, Token: p.token,
		StartBeforeMS: e.clock(now) + p.cfg.StartWindow.Milliseconds(),
		Template:      g.grant.Template, Resources: a.resources, RunLimit: g.template.RunLimit,
	}
}

// Return releases a grant that the shard owner doesn't need.
func (p *Pool) Return(now time.Time, grantID uint64) {
	if g := p.grants[grantID]; g != nil {
		p.revoke(now, g, true)
	}
}

// revoke closes an unused grant and releases its capacity. satisfied means that
// the shard owner has no unit for it.
func (p *Pool) revoke(now time.Time, g *issuedGrant, satisfied bool) {
	if g.closed {
		return
	}
	p.closeGrant(g)
	for _, e := range g.endpoints {
		p.release(now, e, g.template, g.grant.Resources)
		if g.probe {
			e.health.probing = false
		}
	}
	p.updateDemand(g, satisfied)
}

// closeGrant removes a grant without releasing its capacity.
func (p *Pool) closeGrant(g *issuedGrant) {
	g.closed = true
	delete(p.grants, g.grant.ID)
	for _, e := range g.endpoints {
		delete(e.grants, g.grant.ID)
	}
}

// revokeAllOn revokes the unused grants that include an endpoint.
func (p *Pool) revokeAllOn(now time.Time, e *endpointState) {
	for _, g := range sortedGrants(e) {
		p.revoke(now, g, false)
	}
}

// sortedGrants returns the unused grants of an endpoint, newest first.
func sortedGrants(e *endpointState) []*issuedGrant {
	out := make([]*issuedGrant, 0, len(e.grants))
	for _, g := range e.grants {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *issuedGrant) int {
		if a.grant.ID > b.grant.ID {
			return -1
		}
		return 1
	})
	return out
}

// revokeExcess revokes unused grants, newest first, while more is charged on an
// endpoint than its capacity.
func (p *Pool) revokeExcess(now time.Time, e *endpointState) {
	for _, g := range sortedGrants(e) {
		if e.charged.Fits(e.capacity) {
			return
		}
		p.revoke(now, g, false)
	}
}

// expireGrants revokes the grants whose TTL has passed. A shard owner that lets a
// grant expire gets no more grants before its next demand message.
func (p *Pool) expireGrants(now time.Time) {
	if !now.After(p.nextExpiry) || len(p.openGrants) == 0 {
		return
	}
	kept := p.openGrants[:0]
	for _, g := range p.openGrants {
		switch {
		case g.closed:
		case now.After(g.expires):
			p.suspend(g.demand)
			p.revoke(now, g, false)
		default:
			kept = append(kept, g)
		}
	}
	clear(p.openGrants[len(kept):])
	p.openGrants = kept
	for i, g := range kept {
		if i == 0 || g.expires.Before(p.nextExpiry) {
			p.nextExpiry = g.expires
		}
	}
}

// suspend stops grants to the shard owner until its next demand message.
func (p *Pool) suspend(od *ownerDemand) {
	if od == nil || od.source.suspended {
		return
	}
	od.source.suspended = true
	for _, other := range od.source.demands {
		other.class.refresh()
	}
}
