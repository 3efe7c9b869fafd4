package pool

import (
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/model"
)

// issue makes a grant for the tasks charged on p.chosen.
func (p *Pool) issue(now time.Time, key classKey, to string, ttl time.Duration) *issuedGrant {
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
		to:        to,
		template:  p.template(key.template),
		endpoints: slices.Clone(p.chosen),
		expires:   now.Add(ttl),
	}
	for _, e := range g.endpoints {
		e.grants[g.grant.ID] = g
	}
	p.grants[g.grant.ID] = g
	p.expiry = append(p.expiry, g)
	if len(p.expiry) == 1 || g.expires.Before(p.nextExpiry) {
		p.nextExpiry = g.expires
	}
	return g
}

// attach ties a grant to the demand that it serves.
func (p *Pool) attach(g *issuedGrant, s *classShare) {
	g.share = s
	s.outstanding++
	s.class.refresh()
}

// Hold reserves the tasks of a part of a gang that spans pools, all or none.
// It is refused while more urgent work waits for room here.
func (p *Pool) Hold(now time.Time, from string, template model.TemplateID, resources model.Resources, tasks int) (model.Grant, bool) {
	p.expireGrants(now)
	t := p.template(template)
	need := resources.Scale(int64(tasks))
	if tasks <= 0 || !t.known || p.waitsMoreUrgent(t.Urgency) {
		return model.Grant{}, false
	}
	if !p.withinShare(t, need) || !p.keepsReserves(t, need) {
		return model.Grant{}, false
	}
	if !p.place(t, resources, tasks, nil) {
		return model.Grant{}, false
	}
	g := p.issue(now, classKey{template: template, resources: resources, tasks: tasks}, from, p.cfg.HoldTTL)
	g.grant.Hold = true
	return g.grant, true
}

// waitsMoreUrgent reports whether more urgent work waits for room.
func (p *Pool) waitsMoreUrgent(urgency int) bool {
	for _, c := range p.classOrder {
		if c.wanted > 0 && c.blocked == blockedRoom && c.template.Urgency > urgency && p.couldFit(c) {
			return true
		}
	}
	return false
}

// couldFit reports whether the empty pool could hold a grant of the class.
func (p *Pool) couldFit(c *demandClass) bool {
	n := 0
	for _, e := range p.ordered {
		if !e.active {
			continue
		}
		if n += copies(c.key.resources, e.capacity); n >= c.key.tasks {
			return true
		}
	}
	return false
}

// StartAttempts uses a grant: one attempt per endpoint of the grant. The returned
// starts must be sent at once. After ErrGrantVoid nothing has started. A
// repeated dispatch gets ErrAttemptKnown: it may have started.
func (p *Pool) StartAttempts(now time.Time, grantID uint64, attempts []model.AttemptID) ([]StartCommand, error) {
	if p.anyKnown(attempts) {
		return nil, ErrDuplicateAttempt
	}
	p.expireGrants(now)
	g := p.grants[grantID]
	if g == nil {
		return nil, ErrGrantInvalid
	}
	if !p.usable(now, g) {
		p.void(now, g, false)
		return nil, ErrGrantInvalid
	}
	if len(attempts) != len(g.endpoints) || repeats(attempts) {
		p.void(now, g, false)
		return nil, oops.In("pool").With("attempts", len(attempts), "tasks", len(g.endpoints)).Wrap(ErrGrantInvalid)
	}
	p.closeGrant(g)
	orders := make([]StartCommand, len(attempts))
	for i, e := range g.endpoints {
		orders[i] = p.start(now, g, e, attempts[i])
	}
	p.settleGrant(g, true)
	return orders, nil
}

func (p *Pool) anyKnown(attempts []model.AttemptID) bool {
	for _, id := range attempts {
		if p.attempts[id] != nil || p.settled[id] != nil {
			return true
		}
	}
	return false
}

func repeats(attempts []model.AttemptID) bool {
	for i, id := range attempts {
		if slices.Contains(attempts[:i], id) {
			return true
		}
	}
	return false
}

// usable reports whether every endpoint of the grant still takes the start.
// A probe goes to a quarantined endpoint by intent.
func (p *Pool) usable(now time.Time, g *issuedGrant) bool {
	for _, e := range g.endpoints {
		if !e.startable(&p.cfg) || now.After(e.leaseUntil) || (e.health.quarantined && !g.probe) {
			return false
		}
		if !e.charged.Fits(e.capacity) {
			return false
		}
	}
	return true
}

// start turns one task of a grant into an attempt. The charge stays.
func (p *Pool) start(now time.Time, g *issuedGrant, e *endpointState, id model.AttemptID) StartCommand {
	a := &attemptState{
		id: id, to: g.to, endpoint: e, template: g.template, resources: g.grant.Resources,
		instance: e.instance, begun: now, limit: now.Add(p.cfg.StartWindow + p.cfg.StartMargin),
		callOpen: true, probe: g.probe,
	}
	p.attempts[id] = a
	e.attempts[id] = a
	return StartCommand{
		Attempt: id, Endpoint: e.id, Instance: e.instance, Token: p.token,
		StartBeforeMS: e.clock(now) + p.cfg.StartWindow.Milliseconds(),
		Template:      g.grant.Template, Resources: a.resources, RunLimit: g.template.RunLimit,
	}
}

// Return releases a grant that the shard owner does not need.
func (p *Pool) Return(now time.Time, grantID uint64) {
	if g := p.grants[grantID]; g != nil {
		p.void(now, g, true)
	}
}

// void ends an unused grant and releases its capacity. satisfied means that
// the shard owner has no job for it.
func (p *Pool) void(now time.Time, g *issuedGrant, satisfied bool) {
	if g.done {
		return
	}
	p.closeGrant(g)
	for _, e := range g.endpoints {
		p.release(now, e, g.template, g.grant.Resources)
		if g.probe {
			e.health.probing = false
		}
	}
	p.settleGrant(g, satisfied)
}

// closeGrant forgets a grant without releasing its capacity.
func (p *Pool) closeGrant(g *issuedGrant) {
	g.done = true
	delete(p.grants, g.grant.ID)
	for _, e := range g.endpoints {
		delete(e.grants, g.grant.ID)
	}
}

// voidOn ends the unused grants that touch an endpoint.
func (p *Pool) voidOn(now time.Time, e *endpointState) {
	for _, g := range sortedGrants(e) {
		p.void(now, g, false)
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

// voidExcess ends unused grants, newest first, while an endpoint has more
// charged than it has.
func (p *Pool) voidExcess(now time.Time, e *endpointState) {
	for _, g := range sortedGrants(e) {
		if e.charged.Fits(e.capacity) {
			return
		}
		p.void(now, g, false)
	}
}

// expireGrants ends the grants that are past their time. A shard owner that
// lets one expire gets no more before its next demand message.
func (p *Pool) expireGrants(now time.Time) {
	if !now.After(p.nextExpiry) || len(p.expiry) == 0 {
		return
	}
	kept := p.expiry[:0]
	for _, g := range p.expiry {
		switch {
		case g.done:
		case now.After(g.expires):
			p.mute(g.share)
			p.void(now, g, false)
		default:
			kept = append(kept, g)
		}
	}
	clear(p.expiry[len(kept):])
	p.expiry = kept
	for i, g := range kept {
		if i == 0 || g.expires.Before(p.nextExpiry) {
			p.nextExpiry = g.expires
		}
	}
}

func (p *Pool) mute(s *classShare) {
	if s == nil || s.source.muted {
		return
	}
	s.source.muted = true
	for _, share := range s.source.shares {
		share.class.refresh()
	}
}
