package pool

import "time"

// Tick handles the passing of time: void grants, lapsed leases, waiting urgent
// work, lost starts. It is to be called at least every 100 ms.
func (p *Pool) Tick(now time.Time) Effects {
	p.expireGrants(now)
	p.forgetSettled(now)
	p.noteStale(now)
	for _, e := range p.endpointsWithWork() {
		p.settleGrace(now, e)
		p.settleLapsed(now, e)
		p.pollOverdue(now, e)
	}
	p.dropAllRemoved(now)
	p.forgetDropped(now)
	p.preempt(now)
	return p.take()
}

func (p *Pool) endpointsWithWork() []*endpointState {
	p.chosen = p.chosen[:0]
	for _, e := range p.ordered {
		if len(e.attempts) > 0 {
			p.chosen = append(p.chosen, e)
		}
	}
	return p.chosen
}

// pollOverdue asks for a report that can settle a lost start.
func (p *Pool) pollOverdue(now time.Time, e *endpointState) {
	for _, a := range e.attempts {
		if a.callOpen || a.accepted || a.seen {
			continue
		}
		if now.After(a.limit) && !e.lastSent.After(a.limit) {
			p.poll(e)
			return
		}
	}
}

// dropAllRemoved forgets removed endpoints whose last grant has ended.
func (p *Pool) dropAllRemoved(now time.Time) {
	for i := len(p.ordered) - 1; i >= 0; i-- {
		p.dropRemoved(now, p.ordered[i])
	}
}

// noteStale takes endpoints out of use that have not reported within their lease.
func (p *Pool) noteStale(now time.Time) {
	for _, e := range p.ordered {
		if e.reported && !e.stale && now.After(e.leaseUntil) {
			e.stale = true
			p.refresh(e)
		}
	}
}
