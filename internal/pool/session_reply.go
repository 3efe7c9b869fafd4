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

// HandleSessionReply handles the reply to a session call that was sent at the given
// time. The reply is ignored unless its call was sent after the call of the last
// report.
func (p *Pool) HandleSessionReply(now time.Time, id string, sent time.Time, r endpoint.SessionReply) Effects {
	e := p.endpoints[id]
	if e == nil {
		return p.takeEffects()
	}
	if !sent.Before(e.sessionSentAt) {
		e.sessionInFlight = false
	}
	if e.fenced || !sent.After(e.lastReportSent) {
		return p.takeEffects()
	}
	p.renewLease(now, e, sent, r)
	p.updateInstance(e, r)
	p.handleEnded(now, e, r)
	listed := p.handleRunning(now, e, sent, r)
	p.handleAbsent(now, e, sent, r, listed)
	e.capacity = r.Capacity
	e.leavingReported = r.Leaving
	p.stateChanged(now, e)
	p.revokeExcess(now, e)
	p.dropRemoved(now, e)
	return p.takeEffects()
}

func (p *Pool) renewLease(now time.Time, e *endpointState, sent time.Time, r endpoint.SessionReply) {
	e.reported = true
	e.lastReportSent = sent
	e.clockMS, e.clockReadAt = r.ClockMS, now
	e.failedSessions, e.lostReplies, e.stale = 0, 0, false
	e.leaseUntil = now.Add(p.cfg.LeaseTTL)
}

// updateInstance records the instance of the endpoint. A new instance means that
// the endpoint has restarted.
func (p *Pool) updateInstance(e *endpointState, r endpoint.SessionReply) {
	if e.instance != r.Instance {
		if e.instance != "" {
			p.addEvent("endpoint-restarted", "", e.id)
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
		if a.startInFlight {
			// The start call is expected to return the complete answer.
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
	p.recordUsage(p.template(parseTemplate(end.Template)), end)
	shardOwner := ""
	if other := p.attempts[end.Attempt]; other != nil {
		// The same attempt is listed by two endpoints: the first reported end settles it.
		shardOwner, other.chargeOnly = other.shardOwner, true
	}
	p.record(now, e, shardOwner, settledFrom(e, end))
}

// settleReported settles an attempt exactly as the endpoint reported its end.
func (p *Pool) settleReported(now time.Time, a *attemptState, end *endpoint.EndedAttempt) {
	if !a.chargeOnly {
		p.recordUsage(a.template, end)
	}
	p.settle(now, a, settledFrom(a.endpoint, end))
}

func (p *Pool) recordUsage(t *templateState, end *endpoint.EndedAttempt) {
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

// handleRunning charges the endpoint for the attempts that it lists as running, unless
// they are charged already, and returns their identifiers.
func (p *Pool) handleRunning(now time.Time, e *endpointState, sent time.Time, r endpoint.SessionReply) map[model.AttemptID]bool {
	listed := make(map[model.AttemptID]bool, len(r.Running))
	for _, run := range r.Running {
		listed[run.Attempt] = true
		if a := e.attempts[run.Attempt]; a != nil {
			a.hasStarted = true
			a.instance = r.Instance
			continue
		}
		p.adopt(now, e, sent, r.Instance, run)
	}
	return listed
}

// adopt charges the endpoint for a running attempt that this owner didn't
// start or has already settled. It doesn't charge an attempt that was settled after
// the list was requested, because the list may be out of date.
func (p *Pool) adopt(now time.Time, e *endpointState, sent time.Time, instance string, run endpoint.RunningAttempt) {
	rec := p.settled[run.Attempt]
	if rec != nil && !sent.After(rec.at) {
		return
	}
	elsewhere := p.attempts[run.Attempt] != nil
	a := &attemptState{
		id: run.Attempt, endpoint: e, template: p.template(parseTemplate(run.Template)),
		resources: run.Resources, instance: instance, createdAt: now, hasStarted: true,
		chargeOnly: rec != nil || elsewhere,
	}
	e.attempts[a.id] = a
	if !elsewhere {
		p.attempts[a.id] = a
	}
	p.charge(e, a.template, a.resources)
	p.addEvent("adopted", a.id, e.id)
}

// handleAbsent settles the attempts that the reply proves to be over by not listing
// them.
func (p *Pool) handleAbsent(now time.Time, e *endpointState, sent time.Time, r endpoint.SessionReply, listed map[model.AttemptID]bool) {
	for _, a := range sortedAttempts(e) {
		if listed[a.id] || !a.provenEndedBy(sent) {
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

// HandleSessionFailure handles a session call without a reply. Unless the call was
// definitely not sent, the endpoint may have renewed its lease.
func (p *Pool) HandleSessionFailure(now time.Time, id string, err error) Effects {
	e := p.endpoints[id]
	if e == nil {
		return p.takeEffects()
	}
	e.sessionInFlight = false
	if errors.Is(err, endpoint.ErrStaleToken) {
		p.fence(now, e)
		return p.takeEffects()
	}
	e.failedSessions++
	if !errors.Is(err, endpoint.ErrNotSent) {
		e.lostReplies++
		e.leaseUntil = now.Add(p.cfg.LeaseTTL)
	}
	if e.failedSessions == p.cfg.SuspectAfter {
		p.addEvent("endpoint-suspect", "", e.id)
	}
	p.refresh(e)
	return p.takeEffects()
}

// fence handles an endpoint that has seen a higher fencing token: this owner has
// lost the pool.
func (p *Pool) fence(now time.Time, e *endpointState) {
	p.pending.Superseded = true
	if e.fenced {
		return
	}
	e.fenced = true
	p.addEvent("superseded", "", e.id)
	p.stateChanged(now, e)
}
