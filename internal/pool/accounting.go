package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// charge allocates capacity of an endpoint to one task; it counts in endpointState.charged and in the
// totals of the template.
func (p *Pool) charge(e *endpointState, t *templateState, r model.Resources) {
	e.charged = e.charged.Add(r)
	t.addCharge(r)
	if t.Kind == model.KindService {
		if e.serviceReplicas == nil {
			e.serviceReplicas = map[*templateState]int{}
		}
		e.serviceReplicas[t]++
	}
	p.refresh(e)
}

// release frees what charge allocated.
func (p *Pool) release(now time.Time, e *endpointState, t *templateState, r model.Resources) {
	e.charged = e.charged.Sub(r)
	t.subCharge(now, p.cfg.PeakDecay, r)
	if e.serviceReplicas[t] > 0 {
		e.serviceReplicas[t]--
	}
	p.version++
	p.refresh(e)
}

// refresh updates the totals and the index for an endpoint. It must be called
// after every change of the endpoint's capacity, charge or state.
func (p *Pool) refresh(e *endpointState) {
	p.changes++
	p.removeFromTotals(e)
	active := e.schedulable(&p.cfg)
	if active && (!e.active || e.countedCapacity != e.capacity) {
		p.version++
	}
	e.active, e.countedCharge, e.countedCapacity = active, e.charged, e.capacity
	if !active {
		p.inactiveCharged = p.inactiveCharged.Add(e.charged)
		p.index.update(e, false)
		return
	}
	p.activeCapacity = p.activeCapacity.Add(e.capacity)
	p.activeCharged = p.activeCharged.Add(e.charged)
	p.selectIndex(e)
	p.index.update(e, true)
}

// removeFromTotals subtracts an endpoint from the totals.
func (p *Pool) removeFromTotals(e *endpointState) {
	if !e.active {
		p.inactiveCharged = p.inactiveCharged.Sub(e.countedCharge)
		return
	}
	p.activeCapacity = p.activeCapacity.Sub(e.countedCapacity)
	p.activeCharged = p.activeCharged.Sub(e.countedCharge)
}

// selectIndex switches to the grid index when the pool has outgrown the scan, and
// rebuilds the grid when an endpoint is larger than its buckets cover.
func (p *Pool) selectIndex(e *endpointState) {
	grid, ok := p.index.(*gridIndex)
	if !ok && len(p.ordered) <= maxScanEndpoints {
		return
	}
	if ok && grid.covers(e.capacity) {
		return
	}
	p.index = newGridIndex(isRunnerPool(p.id), p.ordered)
}
