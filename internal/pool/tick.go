package pool

import "time"

// Tick handles what depends on time: expired grants, leases and retention periods,
// preemption for waiting work, and starts whose outcome is unknown. It must be called
// at least every 100 ms.
func (p *Pool) Tick(now time.Time) Effects {
	p.expireGrants(now)
	p.discardSettled(now)
	p.markStale(now)
	for _, e := range p.endpointsWithWork() {
		p.settleWithoutAnswer(now, e)
		p.settleExpiredLease(now, e)
		p.pollUnknownStarts(now, e)
	}
	p.dropAllRemoved(now)
	p.discardDropped(now)
	p.preempt(now)
	return p.takeEffects()
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

// pollUnknownStarts requests a session call for an endpoint with a start whose outcome
// is unknown and whose deadline has passed since the last report: the reply shows
// whether the attempt started.
func (p *Pool) pollUnknownStarts(now time.Time, e *endpointState) {
	for _, a := range e.attempts {
		if a.startInFlight || a.accepted || a.hasStarted {
			continue
		}
		if now.After(a.startDeadline) && !e.lastReportSent.After(a.startDeadline) {
			p.requestPoll(e)
			return
		}
	}
}

// dropAllRemoved takes the removed endpoints on which nothing is charged out of the
// pool.
func (p *Pool) dropAllRemoved(now time.Time) {
	for i := len(p.ordered) - 1; i >= 0; i-- {
		p.dropRemoved(now, p.ordered[i])
	}
}

// markStale marks the endpoints whose leaseUntil has passed without a new report;
// they are not schedulable.
func (p *Pool) markStale(now time.Time) {
	for _, e := range p.ordered {
		if e.reported && !e.stale && now.After(e.leaseUntil) {
			e.stale = true
			p.refresh(e)
		}
	}
}
