package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// charge takes capacity of an endpoint for one task.
func (p *Pool) charge(e *endpointState, t *templateState, r model.Resources) {
	e.charged = e.charged.Add(r)
	t.addCharge(r)
	if t.Kind == model.KindService {
		if e.services == nil {
			e.services = map[*templateState]int{}
		}
		e.services[t]++
	}
	p.refresh(e)
}

// release gives back what charge took.
func (p *Pool) release(now time.Time, e *endpointState, t *templateState, r model.Resources) {
	e.charged = e.charged.Sub(r)
	t.subCharge(now, p.cfg.PeakDecay, r)
	if e.services[t] > 0 {
		e.services[t]--
	}
	p.version++
	p.refresh(e)
}

// refresh brings the totals and the index up to date with an endpoint. It is
// called after every change of the endpoint's capacity, charge or state.
func (p *Pool) refresh(e *endpointState) {
	p.changes++
	p.uncount(e)
	active := e.takesWork(&p.cfg)
	if active && (!e.active || e.offered != e.capacity) {
		p.version++
	}
	e.active, e.counted, e.offered = active, e.charged, e.capacity
	if !active {
		p.inactiveCharged = p.inactiveCharged.Add(e.charged)
		p.index.update(e, false)
		return
	}
	p.activeCapacity = p.activeCapacity.Add(e.capacity)
	p.activeCharged = p.activeCharged.Add(e.charged)
	p.fitIndex(e)
	p.index.update(e, true)
}

// uncount takes an endpoint out of the totals.
func (p *Pool) uncount(e *endpointState) {
	if !e.active {
		p.inactiveCharged = p.inactiveCharged.Sub(e.counted)
		return
	}
	p.activeCapacity = p.activeCapacity.Sub(e.offered)
	p.activeCharged = p.activeCharged.Sub(e.counted)
}

// fitIndex changes to the grid when the pool has grown, and rebuilds the grid
// when an endpoint is larger than its classes reach.
func (p *Pool) fitIndex(e *endpointState) {
	grid, ok := p.index.(*gridIndex)
	if !ok && len(p.ordered) <= smallPool {
		return
	}
	if ok && grid.covers(e.capacity) {
		return
	}
	p.index = newGridIndex(isRunnerPool(p.id), p.ordered)
}
