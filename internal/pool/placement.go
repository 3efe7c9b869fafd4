package pool

import "github.com/agateyard/agateyard/internal/model"

// place charges the tasks to endpoints, all or none, and leaves the endpoints
// in p.chosen. c is the class that is served, nil for a reservation of Hold.
func (p *Pool) place(t *templateState, r model.Resources, tasks int, c *demandClass) bool {
	p.chosen = p.chosen[:0]
	p.placementID++
	for range tasks {
		e := p.findEndpoint(t, r, tasks > 1, c)
		if e == nil {
			p.undoPlacement(t, r)
			return false
		}
		e.lastPlacement = p.placementID
		p.charge(e, t, r)
		p.chosen = append(p.chosen, e)
	}
	return true
}

// findEndpoint returns the endpoint for one task, or nil. It prefers endpoints
// without another task of the same gang or another replica of the same service
// (soft anti-affinity).
func (p *Pool) findEndpoint(t *templateState, r model.Resources, gang bool, c *demandClass) *endpointState {
	f := placeFilter{class: c, urgency: t.Urgency}
	if gang {
		f.excludePlacement = p.placementID
	}
	if t.Kind == model.KindService {
		f.antiAffinity = t
	}
	if e := p.index.best(r, &f); e != nil || (!gang && f.antiAffinity == nil) {
		return e
	}
	f.excludePlacement, f.antiAffinity = 0, nil
	return p.index.best(r, &f)
}

// undoPlacement reverts the charges of an incomplete placement. It frees nothing
// that was not free before, so it restores the version and blocked classes stay
// blocked.
func (p *Pool) undoPlacement(t *templateState, r model.Resources) {
	version := p.version
	for _, e := range p.chosen {
		e.charged = e.charged.Sub(r)
		t.undoCharge(r)
		if e.serviceReplicas[t] > 0 {
			e.serviceReplicas[t]--
		}
		p.refresh(e)
	}
	p.version = version
	p.chosen = p.chosen[:0]
}
