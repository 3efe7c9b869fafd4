package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
)

// AddEndpoint adds an endpoint of the VM list. It gets no grant before its first Report.
func (p *Pool) AddEndpoint(now time.Time, id string) {
	if e := p.endpoints[id]; e != nil {
		e.removed = false
		p.refresh(e)
		return
	}
	e := newEndpointState(id)
	if old := p.dropped[id]; old != nil {
		e.instance, e.lastSent, e.acks = old.instance, old.lastSent, old.acks
		delete(p.dropped, id)
	}
	p.endpoints[id] = e
	at, _ := slices.BinarySearchFunc(p.ordered, id, func(o *endpointState, id string) int {
		return strings.Compare(o.id, id)
	})
	p.ordered = slices.Insert(p.ordered, at, e)
}

// MarkEndpointsListed records that the VM list was applied in full. Attempts is not complete before.
func (p *Pool) MarkEndpointsListed() { p.listed = true }

// SetLeaving marks an endpoint as leaving: it gets no grant, and its unused grants are void.
func (p *Pool) SetLeaving(now time.Time, id string, leaving bool) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.leavingSet = leaving
	p.stateChanged(now, e)
}

// RemoveEndpoint removes an endpoint that is no longer listed, once its
// attempts are settled. The list lags, so the endpoint may still be running.
func (p *Pool) RemoveEndpoint(now time.Time, id string) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.removed = true
	p.stateChanged(now, e)
	p.dropRemoved(now, e)
}

// stateChanged voids the grants of an endpoint that takes no more starts.
func (p *Pool) stateChanged(now time.Time, e *endpointState) {
	p.refresh(e)
	if e.removed || e.leaving() || e.fenced {
		p.voidOn(now, e)
	}
}

// dropRemoved forgets a removed endpoint on which nothing is charged.
func (p *Pool) dropRemoved(now time.Time, e *endpointState) {
	if !e.removed || len(e.attempts) > 0 || len(e.grants) > 0 {
		return
	}
	p.uncount(e)
	p.index.update(e, false)
	delete(p.endpoints, e.id)
	e.droppedAt = now
	p.dropped[e.id] = e
	same := func(o *endpointState) bool { return o == e }
	p.ordered = slices.DeleteFunc(p.ordered, same)
	p.quarantined = slices.DeleteFunc(p.quarantined, same)
	p.changes++
}

// forgetDropped forgets the endpoints that left long ago.
func (p *Pool) forgetDropped(now time.Time) {
	for id, e := range p.dropped {
		if now.Sub(e.droppedAt) > unreportedRetention {
			delete(p.dropped, id)
		}
	}
}

// Endpoints returns the endpoints in order, removed ones with unsettled attempts included.
func (p *Pool) Endpoints() []string {
	return p.names(func(*endpointState) bool { return true })
}

// Reported returns the endpoints that have reported under this owner's token, in order.
func (p *Pool) Reported() []string {
	return p.names(func(e *endpointState) bool { return e.reported })
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

// Unreachable returns the endpoints that this owner has tried and failed to
// take over, in order. What an earlier owner dispatched to them is unknown.
func (p *Pool) Unreachable() []string {
	return p.names(func(e *endpointState) bool { return e.unreachable(&p.cfg) })
}

func (p *Pool) names(include func(*endpointState) bool) []string {
	var out []string
	for _, e := range p.ordered {
		if include(e) {
			out = append(out, e.id)
		}
	}
	return out
}

// NextSession returns the session call to send to the endpoint, or false when
// none should be sent now: the lease is being left to lapse, a call is under
// way, or the endpoint is unknown. Every call must end in Report or SessionFailed.
func (p *Pool) NextSession(now time.Time, id string) (endpoint.SessionRequest, bool) {
	e := p.endpoints[id]
	if e == nil || e.calling || e.fenced || p.silent(now, e) {
		return endpoint.SessionRequest{}, false
	}
	e.calling, e.calledAt = true, now
	return endpoint.SessionRequest{
		Token: p.token, Owner: p.owner, Instance: e.instance,
		Ack: e.acks.advance(now, p.cfg.SettledTTL),
	}, true
}

// silent reports whether calls are withheld so that the lease lapses. An
// endpoint that gets calls whose replies are lost would keep its lease and its
// attempts would never be settled.
func (p *Pool) silent(now time.Time, e *endpointState) bool {
	return e.lostReplies >= p.cfg.MaxLostReplies && len(e.attempts) > 0 && !e.lapsed(now, &p.cfg)
}
