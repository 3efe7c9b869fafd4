package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// probeJitter spreads out the probes of endpoints that failed at the same time.
const probeJitter = 0.2

// minBrokenEndpoints prevents failures on a single endpoint from marking a
// template broken.
const minBrokenEndpoints = 2

// recordOutcome updates the health of the endpoint and the template from the
// completion of an attempt.
func (p *Pool) recordOutcome(now time.Time, a *attemptState, s model.Settled) {
	e := a.endpoint
	conclusive := s.End == model.AttemptEnded && s.HasAnswer && !s.Stopped
	switch {
	case !conclusive:
		p.probeInconclusive(now, a)
	case s.Answer.Failed():
		p.recordFailure(now, a)
	default:
		p.recordSuccess(now, e, a.template)
	}
}

// probeInconclusive ends a probe whose result says nothing about the endpoint.
func (p *Pool) probeInconclusive(now time.Time, a *attemptState) {
	if !a.probe {
		return
	}
	h := &a.endpoint.health
	h.probing = false
	h.nextProbe = now.Add(p.jitter(h.interval))
}

func (p *Pool) recordSuccess(now time.Time, e *endpointState, t *templateState) {
	t.health.succeeded(e.id)
	e.health.streak = e.health.streak[:0]
	if e.health.quarantined {
		p.leaveQuarantine(e)
	}
}

func (p *Pool) recordFailure(now time.Time, a *attemptState) {
	e, t := a.endpoint, a.template
	h := &e.health
	h.addFailure(t)
	if h.quarantined {
		// A failure on a quarantined endpoint doesn't count against the template.
		p.probeFailed(now, a)
		return
	}
	if t.health.failed(e.id, p.brokenThreshold()) {
		p.addEvent("template-broken", a.id, t.ID.String())
		p.reviewQuarantine()
	}
	if h.attributableFailures(e.id) >= p.cfg.FailureStreak {
		p.quarantine(now, e)
	}
}

// brokenThreshold returns the number of endpoints on which a template must fail
// to be marked broken.
func (p *Pool) brokenThreshold() int {
	return max(minBrokenEndpoints, min(p.cfg.BrokenAfterEndpoints, len(p.ordered)))
}

func (p *Pool) probeFailed(now time.Time, a *attemptState) {
	if !a.probe {
		return
	}
	h := &a.endpoint.health
	h.probing = false
	h.interval = min(2*h.interval, p.cfg.ProbeMaxInterval)
	h.nextProbe = now.Add(p.jitter(h.interval))
	p.addEvent("probe-failed", a.id, a.endpoint.id)
}

func (p *Pool) jitter(d time.Duration) time.Duration {
	return d + time.Duration(probeJitter*p.rnd.Float64()*float64(d))
}

// quarantine stops ordinary grants on an endpoint, unless that would quarantine
// too much of the pool.
func (p *Pool) quarantine(now time.Time, e *endpointState) {
	if !p.quarantineAllowed(e) {
		p.addEvent("quarantine-refused", "", e.id)
		return
	}
	h := &e.health
	h.quarantined = true
	h.probing = false
	h.interval = p.cfg.ProbeMinInterval
	h.nextProbe = now.Add(p.jitter(h.interval))
	p.quarantined = append(p.quarantined, e)
	p.refresh(e)
	p.revokeAllOn(now, e)
	p.addEvent("quarantined", "", e.id)
}

// quarantineAllowed reports whether the quarantined capacity, with this endpoint,
// stays within MaxQuarantine of the capacity that accepts starts.
func (p *Pool) quarantineAllowed(e *endpointState) bool {
	var all, inQuarantine model.Resources
	for _, o := range p.ordered {
		if !o.acceptsStarts(&p.cfg) && o != e {
			continue
		}
		all = all.Add(o.capacity)
		if o.health.quarantined || o == e {
			inQuarantine = inQuarantine.Add(o.capacity)
		}
	}
	return inQuarantine.DominantShare(all) <= p.cfg.MaxQuarantine+shareTolerance
}

func (p *Pool) leaveQuarantine(e *endpointState) {
	e.health = endpointHealth{}
	for i, o := range p.quarantined {
		if o == e {
			p.quarantined = append(p.quarantined[:i], p.quarantined[i+1:]...)
			break
		}
	}
	p.refresh(e)
	p.addEvent("quarantine-left", "", e.id)
}

// reviewQuarantine ends the quarantine of endpoints whose failures came from a
// template that has since been marked broken.
func (p *Pool) reviewQuarantine() {
	for i := len(p.quarantined) - 1; i >= 0; i-- {
		e := p.quarantined[i]
		if e.health.attributableFailures(e.id) < p.cfg.FailureStreak {
			p.leaveQuarantine(e)
		}
	}
}

// scheduleProbes grants one idempotent task to each quarantined endpoint whose
// probe is due. It takes the least urgent work, for which a failed probe costs
// least.
func (p *Pool) scheduleProbes(now time.Time, out []AssignedGrant) []AssignedGrant {
	for _, e := range p.quarantined {
		h := &e.health
		if h.probing || now.Before(h.nextProbe) || !e.acceptsStarts(&p.cfg) {
			continue
		}
		c := p.probeClass(e)
		if c == nil {
			continue
		}
		out = append(out, p.probe(now, e, c))
	}
	return out
}

// probeClass returns the least urgent waiting class that may probe the endpoint.
func (p *Pool) probeClass(e *endpointState) *demandClass {
	var best *demandClass
	for _, c := range p.classOrder {
		t := c.template
		if c.grantsNeeded == 0 || c.key.tasks != 1 || !t.known || !t.Idempotent || t.health.broken {
			continue
		}
		if t.Kind == model.KindService || t.Kind == model.KindGang {
			continue
		}
		if !c.need.Fits(e.free()) || !p.withinFloodShare(t, c.need) {
			continue
		}
		if best == nil || t.Urgency < best.template.Urgency {
			best = c
		}
	}
	return best
}

func (p *Pool) probe(now time.Time, e *endpointState, c *demandClass) AssignedGrant {
	p.chosen = append(p.chosen[:0], e)
	p.charge(e, c.template, c.key.resources)
	od := c.nextDemand()
	g := p.issueGrant(now, c.key, od.source.id, p.cfg.GrantTTL)
	g.probe = true
	e.health.probing = true
	p.attachDemand(g, od)
	p.addEvent("probe", "", e.id)
	return AssignedGrant{To: g.shardOwner, Grant: g.grant}
}

// Broken reports whether the template has failed on several endpoints without a
// success between.
func (p *Pool) Broken(template model.TemplateID) bool {
	t := p.templates[template]
	return t != nil && t.health.broken
}
