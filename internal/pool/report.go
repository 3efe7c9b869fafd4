package pool

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// HandleSessionReply handles the reply to a session call that was sent at the given time.
// A reply to an earlier call than the last one handled is ignored.
func (p *Pool) HandleSessionReply(now time.Time, id string, sent time.Time, r endpoint.SessionReply) Effects {
	e := p.endpoints[id]
	if e == nil {
		return p.take()
	}
	if !sent.Before(e.calledAt) {
		e.calling = false
	}
	if e.fenced || !sent.After(e.lastSent) {
		return p.take()
	}
	p.renew(now, e, sent, r)
	p.noteInstance(e, r)
	p.handleEnded(now, e, r)
	listed := p.handleRunning(now, e, sent, r)
	p.handleAbsent(now, e, sent, r, listed)
	e.capacity = r.Capacity
	e.leavingReported = r.Leaving
	p.stateChanged(now, e)
	p.voidExcess(now, e)
	p.dropRemoved(now, e)
	return p.take()
}

func (p *Pool) renew(now time.Time, e *endpointState, sent time.Time, r endpoint.SessionReply) {
	e.reported = true
	e.lastSent = sent
	e.clockMS, e.clockAt = r.ClockMS, now
	e.failures, e.lostReplies, e.stale = 0, 0, false
	e.leaseUntil = now.Add(p.cfg.LeaseTTL)
}

func (p *Pool) noteInstance(e *endpointState, r endpoint.SessionReply) {
	if e.instance != r.Instance {
		if e.instance != "" {
			p.event("endpoint-restarted", "", e.id)
		}
		e.acks.reset()
	}
	e.instance = r.Instance
}

// handleEnded settles the attempts that the endpoint reports as ended.
func (p *Pool) handleEnded(now time.Time, e *endpointState, r endpoint.SessionReply) {
	ended := slices.Clone(r.Ended)
	slices.SortFunc(ended, func(a, b endpoint.EndedAttempt) int { return cmp.Compare(a.Seq, b.Seq) })
	for i := range ended {
		if e.acks.add(ended[i].Seq, ended[i].Attempt, now) {
			p.handleEnd(now, e, &ended[i])
		}
	}
}

func (p *Pool) handleEnd(now time.Time, e *endpointState, end *endpoint.EndedAttempt) {
	if a := e.attempts[end.Attempt]; a != nil {
		if a.callOpen {
			// The start call is about to bring the whole answer.
			a.reportedEnd, a.reportedEndAt = end, now
			return
		}
		p.settleReported(now, a, end)
		return
	}
	if rec := p.settled[end.Attempt]; rec != nil {
		if rec.delivered {
			e.acks.deliver(end.Attempt)
		}
		return
	}
	p.measure(p.template(parseTemplate(end.Template)), end)
	to := ""
	if other := p.attempts[end.Attempt]; other != nil {
		// The same attempt at two endpoints: it is settled by the first end.
		to, other.told = other.to, true
	}
	p.record(now, e, to, settledFrom(e, end))
}

// settleReported settles an attempt exactly as the endpoint reported its end.
func (p *Pool) settleReported(now time.Time, a *attemptState, end *endpoint.EndedAttempt) {
	if !a.told {
		p.measure(a.template, end)
	}
	p.settle(now, a, settledFrom(a.endpoint, end))
}

func (p *Pool) measure(t *templateState, end *endpoint.EndedAttempt) {
	t.usage.add(end.MaxUsage)
}

func settledFrom(e *endpointState, end *endpoint.EndedAttempt) model.Settled {
	return model.Settled{
		Attempt: end.Attempt, End: model.AttemptEnded, Endpoint: e.id,
		Answer: end.Answer, HasAnswer: end.HasAnswer, Stopped: end.Stopped, RunMS: end.RunMS,
	}
}

// parseTemplate parses "workspace/name".
func parseTemplate(s string) model.TemplateID {
	workspace, name, _ := strings.Cut(s, "/")
	return model.TemplateID{Workspace: workspace, Name: name}
}

// handleRunning charges the attempts that the endpoint lists as running and
// returns their identifiers.
func (p *Pool) handleRunning(now time.Time, e *endpointState, sent time.Time, r endpoint.SessionReply) map[model.AttemptID]bool {
	listed := make(map[model.AttemptID]bool, len(r.Running))
	for _, run := range r.Running {
		listed[run.Attempt] = true
		if a := e.attempts[run.Attempt]; a != nil {
			a.seen = true
			a.instance = r.Instance
			continue
		}
		p.adopt(now, e, sent, r.Instance, run)
	}
	return listed
}

// adopt charges a running attempt that this owner did not start or has
// settled. It is not charged when the list may be older than its end.
func (p *Pool) adopt(now time.Time, e *endpointState, sent time.Time, instance string, run endpoint.RunningAttempt) {
	rec := p.settled[run.Attempt]
	if rec != nil && !sent.After(rec.at) {
		return
	}
	elsewhere := p.attempts[run.Attempt] != nil
	a := &attemptState{
		id: run.Attempt, endpoint: e, template: p.template(parseTemplate(run.Template)),
		resources: run.Resources, instance: instance, begun: now, seen: true,
		told: rec != nil || elsewhere,
	}
	e.attempts[a.id] = a
	if !elsewhere {
		p.attempts[a.id] = a
	}
	p.charge(e, a.template, a.resources)
	p.event("adopted", a.id, e.id)
}

// handleAbsent settles the attempts that the report proves to be over.
func (p *Pool) handleAbsent(now time.Time, e *endpointState, sent time.Time, r endpoint.SessionReply, listed map[model.AttemptID]bool) {
	for _, a := range sortedAttempts(e) {
		if listed[a.id] || !a.over(sent) {
			continue
		}
		p.settle(now, a, model.Settled{
			Attempt: a.id, End: a.endWithoutRecord(r.Instance), Endpoint: e.id,
		})
	}
}

func sortedAttempts(e *endpointState) []*attemptState {
	out := make([]*attemptState, 0, len(e.attempts))
	for _, a := range e.attempts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attemptState) int { return strings.Compare(string(a.id), string(b.id)) })
	return out
}

// HandleSessionFailure handles a session call without a reply. Unless it was
// certainly not sent, the endpoint may have renewed its lease.
func (p *Pool) HandleSessionFailure(now time.Time, id string, err error) Effects {
	e := p.endpoints[id]
	if e == nil {
		return p.take()
	}
	e.calling = false
	if errors.Is(err, endpoint.ErrStaleToken) {
		p.fence(now, e)
		return p.take()
	}
	e.failures++
	if !errors.Is(err, endpoint.ErrNotSent) {
		e.lostReplies++
		e.leaseUntil = now.Add(p.cfg.LeaseTTL)
	}
	if e.failures == p.cfg.SuspectAfter {
		p.event("endpoint-suspect", "", e.id)
	}
	p.refresh(e)
	return p.take()
}

// fence handles an endpoint that has seen a higher token.
func (p *Pool) fence(now time.Time, e *endpointState) {
	p.pending.Superseded = true
	if e.fenced {
		return
	}
	e.fenced = true
	p.event("superseded", "", e.id)
	p.stateChanged(now, e)
}
