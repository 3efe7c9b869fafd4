package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

// settle releases the capacity of an attempt and records its completion, once.
func (p *Pool) settle(now time.Time, a *attemptState, s model.Settled) {
	e := a.endpoint
	delete(e.attempts, a.id)
	if p.attempts[a.id] == a {
		delete(p.attempts, a.id)
	}
	p.release(now, e, a.template, a.resources)
	if a.chargeOnly {
		e.acks.deliver(a.id)
		return
	}
	if s.End == model.AttemptEnded && s.RunMS > 0 && !s.Stopped && !s.Answer.Failed() {
		a.template.runTimes.add(s.RunMS)
	}
	p.record(now, e, a.shardOwner, s)
	p.recordOutcome(now, a, s)
}

// record stores the completion of an attempt and queues it for delivery.
func (p *Pool) record(now time.Time, e *endpointState, shardOwner string, s model.Settled) {
	rec := &settledRecord{settled: s, at: now}
	p.settled[s.Attempt] = rec
	p.settledByTime = append(p.settledByTime, rec)
	p.pending.Settled = append(p.pending.Settled, SettledNotice{To: shardOwner, Settled: s})
	p.addEvent(string(s.End), s.Attempt, e.id)
}

// MarkDelivered records that the shard owners have received the completions of the
// attempts. Only then, or after RecordRetention, are their ends acknowledged to the
// endpoint, so that the next pool owner finds those that were not delivered.
func (p *Pool) MarkDelivered(now time.Time, attempts []model.AttemptID) {
	for _, id := range attempts {
		rec := p.settled[id]
		if rec == nil {
			continue
		}
		rec.delivered = true
		if e := p.endpoints[rec.settled.Endpoint]; e != nil {
			e.acks.deliver(id)
		}
	}
}

// discardSettled deletes records after their retention. An end that was not delivered is
// kept for up to RecordRetention, for the next shard owner: from a missing record it would
// conclude that the attempt never started. So is a record whose endpoint has not reported
// since, because the endpoint may list the attempt again.
func (p *Pool) discardSettled(now time.Time) {
	kept := p.settledByTime[:0]
	for i, rec := range p.settledByTime {
		if now.Sub(rec.at) <= p.cfg.SettledTTL {
			kept = append(kept, p.settledByTime[i:]...)
			break
		}
		if p.undelivered(now, rec) || p.mayBeListedAgain(now, rec) {
			kept = append(kept, rec)
			continue
		}
		delete(p.settled, rec.settled.Attempt)
	}
	clear(p.settledByTime[len(kept):])
	p.settledByTime = kept
}

// undelivered reports whether a shard owner may still need the record.
func (p *Pool) undelivered(now time.Time, rec *settledRecord) bool {
	return !rec.delivered && rec.settled.End != model.AttemptNotStarted && now.Sub(rec.at) <= p.cfg.RecordRetention
}

// mayBeListedAgain reports whether the endpoint may still list the attempt of the
// record, because it has not reported since. The endpoint may have left the VM list.
func (p *Pool) mayBeListedAgain(now time.Time, rec *settledRecord) bool {
	if rec.settled.End == model.AttemptNotStarted || now.Sub(rec.at) > p.cfg.RecordRetention {
		return false
	}
	e := p.endpoints[rec.settled.Endpoint]
	return e == nil || !e.lastReportSent.After(rec.at)
}

// HandleStartResult handles the result of a start call.
func (p *Pool) HandleStartResult(now time.Time, attempt model.AttemptID, r StartResult) Effects {
	a := p.attempts[attempt]
	if a == nil || !a.startInFlight {
		return p.takeEffects()
	}
	a.startInFlight = false
	a.startEndedAt = now
	switch r.Kind {
	case StartAnswered:
		p.finishAnswered(now, a, r)
	case StartAccepted:
		a.accepted = true
		p.settleIfReported(now, a)
	case StartRefused:
		p.finishRefused(now, a, r.Err)
	default:
		p.leaveUnresolved(now, a, r.Err)
	}
	return p.takeEffects()
}

func (p *Pool) finishAnswered(now time.Time, a *attemptState, r StartResult) {
	s := model.Settled{
		Attempt: a.id, End: model.AttemptEnded, Endpoint: a.endpoint.id,
		Answer: r.Answer, HasAnswer: true, RunMS: r.RunMS,
	}
	if a.reportedEnd != nil {
		s.Stopped = a.reportedEnd.Stopped
		p.recordUsage(a.template, a.reportedEnd)
	}
	p.settle(now, a, s)
}

// settleIfReported settles the attempt if its end was listed before the start call
// returned.
func (p *Pool) settleIfReported(now time.Time, a *attemptState) {
	if a.reportedEnd != nil {
		p.settleReported(now, a, a.reportedEnd)
	}
}

// finishRefused settles an attempt that did not start. An attempt that the
// endpoint has listed did start, even if the start call was refused.
func (p *Pool) finishRefused(now time.Time, a *attemptState, err error) {
	e := a.endpoint
	if a.hasStarted || a.reportedEnd != nil {
		p.leaveUnresolved(now, a, err)
		return
	}
	p.settle(now, a, model.Settled{Attempt: a.id, End: model.AttemptNotStarted, Endpoint: e.id})
	p.handleRefusal(now, e, err)
}

// leaveUnresolved handles a start call of unknown outcome: the attempt stays open until a
// session reply or the expiry of the lease settles it. If its end is already listed, the
// attempt is settled immediately.
func (p *Pool) leaveUnresolved(now time.Time, a *attemptState, err error) {
	if isRepeated(err) {
		a.hasStarted = true // the endpoint received the same start before and may have run it
	}
	p.addEvent("lost", a.id, a.endpoint.id)
	p.settleIfReported(now, a)
}

// settleExpiredLease settles the attempts on an endpoint whose lease has certainly
// expired as unknown, except those that may still start.
func (p *Pool) settleExpiredLease(now time.Time, e *endpointState) {
	if len(e.attempts) == 0 || !e.leaseExpired(now, &p.cfg) {
		return
	}
	for _, a := range sortedAttempts(e) {
		if a.startInFlight || now.Before(a.startDeadline) {
			continue
		}
		p.settle(now, a, model.Settled{Attempt: a.id, End: model.AttemptUnknown, Endpoint: e.id, Stopped: true})
	}
	e.lostReplies = 0
}

// answerGrace is how long an attempt with a listed end waits for the start call to
// return the answer.
const answerGrace = time.Second

// settleWithoutAnswer settles attempts whose start call has not returned within
// answerGrace after their end was listed.
func (p *Pool) settleWithoutAnswer(now time.Time, e *endpointState) {
	overdue := func(a *attemptState) bool {
		return a.reportedEnd != nil && now.Sub(a.reportedEndAt) > answerGrace
	}
	if !anyAttempt(e, overdue) {
		return
	}
	for _, a := range sortedAttempts(e) {
		if overdue(a) {
			p.settleReported(now, a, a.reportedEnd)
		}
	}
}

func anyAttempt(e *endpointState, is func(*attemptState) bool) bool {
	for _, a := range e.attempts {
		if is(a) {
			return true
		}
	}
	return false
}

func (p *Pool) addEvent(name string, attempt model.AttemptID, detail string) {
	p.pending.Events = append(p.pending.Events, timeline.Event{
		Part: "pool", Name: name, Attempt: string(attempt), Detail: detail,
	})
}
