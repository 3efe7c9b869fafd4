package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// probeJitter spreads the probes of endpoints that failed together.
const probeJitter = 0.2

// minBrokenSpread keeps a single endpoint from marking a template broken.
const minBrokenSpread = 2

// judge learns from the end of an attempt about its endpoint and template.
func (p *Pool) judge(now time.Time, a *attemptState, s model.Settled) {
	e := a.endpoint
	counts := s.End == model.AttemptEnded && s.HasAnswer && !s.Stopped
	switch {
	case !counts:
		p.probeOpen(now, a)
	case s.Answer.Failed():
		p.judgeFailure(now, a)
	default:
		p.judgeSuccess(now, e, a.template)
	}
}

// probeOpen ends a probe that showed nothing.
func (p *Pool) probeOpen(now time.Time, a *attemptState) {
	if !a.probe {
		return
	}
	h := &a.endpoint.health
	h.probing = false
	h.nextProbe = now.Add(p.jitter(h.interval))
}

func (p *Pool) judgeSuccess(now time.Time, e *endpointState, t *templateState) {
	t.health.succeeded(e.id)
	e.health.streak = e.health.streak[:0]
	if e.health.quarantined {
		p.leaveQuarantine(e)
	}
}

func (p *Pool) judgeFailure(now time.Time, a *attemptState) {
	e, t := a.endpoint, a.template
	h := &e.health
	h.addFailure(t)
	if h.quarantined {
		// Failures of an endpoint known to be bad say nothing of the template.
		p.probeFailed(now, a)
		return
	}
	if t.health.failed(e.id, p.brokenSpread()) {
		p.event("template-broken", a.id, t.ID.String())
		p.reviewQuarantine()
	}
	if h.evidence(e.id) >= p.cfg.FailureStreak {
		p.quarantine(now, e)
	}
}

func (p *Pool) brokenSpread() int {
	return max(minBrokenSpread, min(p.cfg.BrokenAfterEndpoints, len(p.ordered)))
}

func (p *Pool) probeFailed(now time.Time, a *attemptState) {
	if !a.probe {
		return
	}
	h := &a.endpoint.health
	h.probing = false
	h.interval = min(2*h.interval, p.cfg.ProbeMaxInterval)
	h.nextProbe = now.Add(p.jitter(h.interval))
	p.event("probe-failed", a.id, a.endpoint.id)
}

func (p *Pool) jitter(d time.Duration) time.Duration {
	return d + time.Duration(probeJitter*p.rnd.Float64()*float64(d))
}

// quarantine takes an endpoint out of use unless too much of the pool would be.
func (p *Pool) quarantine(now time.Time, e *endpointState) {
	if !p.quarantineAllowed(e) {
		p.event("quarantine-refused", "", e.id)
		return
	}
	h := &e.health
	h.quarantined = true
	h.probing = false
	h.interval = p.cfg.ProbeMinInterval
	h.nextProbe = now.Add(p.jitter(h.interval))
	p.quarantined = append(p.quarantined, e)
	p.refresh(e)
	p.voidOn(now, e)
	p.event("quarantined", "", e.id)
}

// quarantineAllowed bounds the quarantined capacity as a share of what the
// pool could use.
func (p *Pool) quarantineAllowed(e *endpointState) bool {
	var all, out model.Resources
	for _, o := range p.ordered {
		if !o.startable(&p.cfg) && o != e {
			continue
		}
		all = all.Add(o.capacity)
		if o.health.quarantined || o == e {
			out = out.Add(o.capacity)
		}
	}
	return out.DominantShare(all) <= p.cfg.MaxQuarantine+shareSlack
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
	p.event("quarantine-left", "", e.id)
}

// reviewQuarantine releases the endpoints that were quarantined on the
// evidence of a template that turned out to be broken.
func (p *Pool) reviewQuarantine() {
	for i := len(p.quarantined) - 1; i >= 0; i-- {
		e := p.quarantined[i]
		if e.health.evidence(e.id) < p.cfg.FailureStreak {
			p.leaveQuarantine(e)
		}
	}
}

// scheduleProbes sends one idempotent task to each quarantined endpoint whose
// probe is due. The least urgent work waits least for a probe that fails.
func (p *Pool) scheduleProbes(now time.Time, out []AssignedGrant) []AssignedGrant {
	for _, e := range p.quarantined {
		h := &e.health
		if h.probing || now.Before(h.nextProbe) || !e.startable(&p.cfg) {
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
		if c.wanted == 0 || c.key.tasks != 1 || !t.known || !t.Idempotent || t.health.broken {
			continue
		}
		if t.Kind == model.KindService || t.Kind == model.KindGang {
			continue
		}
		if !c.need.Fits(e.free()) || !p.withinShare(t, c.need) {
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
	share := c.next()
	g := p.issue(now, c.key, share.source.id, p.cfg.GrantTTL)
	g.probe = true
	e.health.probing = true
	p.attach(g, share)
	p.event("probe", "", e.id)
	return AssignedGrant{To: g.to, Grant: g.grant}
}

// Broken reports whether the template fails on several endpoints.
func (p *Pool) Broken(template model.TemplateID) bool {
	t := p.templates[template]
	return t != nil && t.health.broken
}
