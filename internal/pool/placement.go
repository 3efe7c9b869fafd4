package pool

import "github.com/agateyard/agateyard/internal/model"

// place charges the tasks on endpoints, all or none, and leaves the endpoints
// in p.chosen. c is the class that is served, nil for a held part of a gang.
func (p *Pool) place(t *templateState, r model.Resources, tasks int, c *demandClass) bool {
	p.chosen = p.chosen[:0]
	p.generation++
	for range tasks {
		e := p.findEndpoint(t, r, tasks > 1, c)
		if e == nil {
			p.undoPlacement(t, r)
			return false
		}
		e.mark = p.generation
		p.charge(e, t, r)
		p.chosen = append(p.chosen, e)
	}
	return true
}

// findEndpoint returns the endpoint for one task, or nil. Tasks of a gang and
// replicas of a service go to endpoints without one of their kind while there
// are any that fit.
func (p *Pool) findEndpoint(t *templateState, r model.Resources, gang bool, c *demandClass) *endpointState {
	f := placeFilter{class: c, urgency: t.Urgency}
	if gang {
		f.generation = p.generation
	}
	if t.Kind == model.KindService {
		f.spread = t
	}
	if e := p.index.best(r, &f); e != nil || (!gang && f.spread == nil) {
		return e
	}
	f.generation, f.spread = 0, nil
	return p.index.best(r, &f)
}

// undoPlacement takes back the charges of a placement that was not completed.
// It frees nothing that was not free before, so blocked classes stay blocked.
func (p *Pool) undoPlacement(t *templateState, r model.Resources) {
	version := p.version
	for _, e := range p.chosen {
		e.charged = e.charged.Sub(r)
		t.undoCharge(r)
		if e.services[t] > 0 {
			e.services[t]--
		}
		p.refresh(e)
	}
	p.version = version
	p.chosen = p.chosen[:0]
}
