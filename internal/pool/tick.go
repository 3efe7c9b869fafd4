package pool

import "time"

// Tick handles what depends on time: expired grants and leases, preemption for
// waiting work, and lost starts. It must be called at least every 100 ms.
func (p *Pool) Tick(now time.Time) Effects {
	p.expireGrants(now)
	p.forgetSettled(now)
	p.markStale(now)
	for _, e := range p.endpointsWithWork() {
		p.settleOverdue(now, e)
		p.settleExpiredLease(now, e)
		p.pollLostStarts(now, e)
	}
	p.dropAllRemoved(now)
	p.forgetDropped(now)
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

// pollLostStarts requests a session call that can settle a lost start.
func (p *Pool) pollLostStarts(now time.Time, e *endpointState) {
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

// dropAllRemoved drops the removed endpoints on which nothing is charged any more.
func (p *Pool) dropAllRemoved(now time.Time) {
	for i := len(p.ordered) - 1; i >= 0; i-- {
		p.dropRemoved(now, p.ordered[i])
	}
}

// markStale marks endpoints that have not reported within their lease period as
// unschedulable.
func (p *Pool) markStale(now time.Time) {
	for _, e := range p.ordered {
		if e.reported && !e.stale && now.After(e.leaseUntil) {
			e.stale = true
			p.refresh(e)
		}
	}
}
