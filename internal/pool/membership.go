package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
)

// AddEndpoint adds an endpoint of the VM list. It gets no grant before its first
// session reply.
func (p *Pool) AddEndpoint(now time.Time, id string) {
	if e := p.endpoints[id]; e != nil {
		e.removed = false
		p.refresh(e)
		return
	}
	e := newEndpointState(id)
	if old := p.dropped[id]; old != nil {
		e.instance, e.lastReportSent, e.acks = old.instance, old.lastReportSent, old.acks
		delete(p.dropped, id)
	}
	p.endpoints[id] = e
	at, _ := slices.BinarySearchFunc(p.ordered, id, func(o *endpointState, id string) int {
		return strings.Compare(o.id, id)
	})
	p.ordered = slices.Insert(p.ordered, at, e)
}

// MarkEndpointsListed records that the VM list was applied in full. Until then the
// result of Attempts is not complete.
func (p *Pool) MarkEndpointsListed() { p.endpointsListed = true }

// SetLeaving marks an endpoint as leaving, or not. A leaving endpoint gets no
// grants, and its unused grants are revoked.
func (p *Pool) SetLeaving(now time.Time, id string, leaving bool) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.leavingMarked = leaving
	p.stateChanged(now, e)
}

// RemoveEndpoint removes an endpoint that is no longer in the VM list, once its
// attempts are settled. The list may be out of date, so the endpoint may still be
// running.
func (p *Pool) RemoveEndpoint(now time.Time, id string) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.removed = true
	p.stateChanged(now, e)
	p.dropRemoved(now, e)
}

// stateChanged updates the totals and revokes the grants of an endpoint that is
// removed, leaving or fenced.
func (p *Pool) stateChanged(now time.Time, e *endpointState) {
	p.refresh(e)
	if e.removed || e.leaving() || e.fenced {
		p.revokeAllOn(now, e)
	}
}

// dropRemoved takes a removed endpoint on which nothing is charged out of the pool.
// It is kept in p.dropped for RecordRetention.
func (p *Pool) dropRemoved(now time.Time, e *endpointState) {
	if !e.removed || len(e.attempts) > 0 || len(e.grants) > 0 {
		return
	}
	p.removeFromTotals(e)
	p.index.update(e, false)
	delete(p.endpoints, e.id)
	e.droppedAt = now
	p.dropped[e.id] = e
	same := func(o *endpointState) bool { return o == e }
	p.ordered = slices.DeleteFunc(p.ordered, same)
	p.quarantined = slices.DeleteFunc(p.quarantined, same)
	p.changes++
}

// discardDropped deletes dropped endpoints after RecordRetention.
func (p *Pool) discardDropped(now time.Time) {
	for id, e := range p.dropped {
		if now.Sub(e.droppedAt) > p.cfg.RecordRetention {
			delete(p.dropped, id)
		}
	}
}

// Endpoints returns the endpoints ordered by identifier, including removed ones
// with unsettled attempts.
func (p *Pool) Endpoints() []string {
	return p.endpointIDs(func(*endpointState) bool { return true })
}

// Reported returns the endpoints that have reported under this owner's token,
// ordered by identifier.
func (p *Pool) Reported() []string {
	return p.endpointIDs(func(e *endpointState) bool { return e.reported })
}

// Instances returns the instance of each endpoint of Reported. Only an endpoint
// of the same instance as when an attempt was dispatched can prove that the
// attempt did not start.
func (p *Pool) Instances() map[string]string {
	out := make(map[string]string)
	for _, e := range p.ordered {
		if e.reported {
			out[e.id] = e.instance
		}
	}
	return out
}

// Unreachable returns the endpoints that have never reported to this owner and whose
// session calls fail, ordered by identifier. It is unknown what an earlier owner
// dispatched to them.
func (p *Pool) Unreachable() []string {
	return p.endpointIDs(func(e *endpointState) bool { return e.unreachable(&p.cfg) })
}

func (p *Pool) endpointIDs(include func(*endpointState) bool) []string {
	var out []string
	for _, e := range p.ordered {
		if include(e) {
			out = append(out, e.id)
		}
	}
	return out
}

// NextSession returns the session call to send to the endpoint, or false if none
// should be sent now: calls are withheld so that the lease expires, a call is in
// flight, or the endpoint is unknown or fenced. Every call must end in
// HandleSessionReply or HandleSessionFailure.
func (p *Pool) NextSession(now time.Time, id string) (endpoint.SessionRequest, bool) {
	e := p.endpoints[id]
	if e == nil || e.sessionInFlight || e.fenced || p.withholdCalls(now, e) {
		return endpoint.SessionRequest{}, false
	}
	e.sessionInFlight, e.sessionSentAt = true, now
	return endpoint.SessionRequest{
		Token: p.token, Owner: p.owner, Instance: e.instance,
		Ack: e.acks.advance(now, p.cfg.RecordRetention),
	}, true
}

// withholdCalls reports whether session calls are withheld so that the lease
// expires. An endpoint that receives the calls while its replies are lost would
// keep its lease, and its attempts would never be settled.
func (p *Pool) withholdCalls(now time.Time, e *endpointState) bool {
	return e.lostReplies >= p.cfg.MaxLostReplies && len(e.attempts) > 0 && !e.leaseExpired(now, &p.cfg)
}
