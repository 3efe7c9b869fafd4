package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

// settle releases the capacity of an attempt and records its end, once.
func (p *Pool) settle(now time.Time, a *attemptState, s model.Settled) {
	e := a.endpoint
	delete(e.attempts, a.id)
	if p.attempts[a.id] == a {
		delete(p.attempts, a.id)
	}
	p.release(now, e, a.template, a.resources)
	if a.told {
		e.acks.deliver(a.id)
		return
	}
	if s.End == model.AttemptEnded && s.RunMS > 0 && !s.Stopped && !s.Answer.Failed() {
		a.template.runTimes.add(s.RunMS)
	}
	p.record(now, e, a.to, s)
	p.judge(now, a, s)
}

// record remembers the end of an attempt and has it delivered.
func (p *Pool) record(now time.Time, e *endpointState, to string, s model.Settled) {
	rec := &settledRecord{settled: s, at: now}
	p.settled[s.Attempt] = rec
	p.forget = append(p.forget, rec)
	p.pending.Settled = append(p.pending.Settled, SettledNotice{To: to, Settled: s})
	p.event(string(s.End), s.Attempt, e.id)
}

// MarkDelivered records that the shard owners have the ends of the attempts. Only
// then are they acknowledged to the endpoint, so that a successor still finds
// every end that was not delivered.
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

// forgetSettled drops the records that are past their time. A record whose
// endpoint has not reported since is kept: the attempt may be listed again.
func (p *Pool) forgetSettled(now time.Time) {
	kept := p.forget[:0]
	for i, rec := range p.forget {
		if now.Sub(rec.at) <= p.cfg.SettledTTL {
			kept = append(kept, p.forget[i:]...)
			break
		}
		if p.mayReturn(now, rec) {
			kept = append(kept, rec)
			continue
		}
		delete(p.settled, rec.settled.Attempt)
	}
	clear(p.forget[len(kept):])
	p.forget = kept
}

// unreportedRetention bounds how long the end of an attempt that an endpoint may
// still list is remembered. It is the retention of the at-most-once record.
const unreportedRetention = 15 * time.Minute

// mayReturn reports whether an endpoint that has not been heard of since may
// still list the attempt of the record. It may have left the VM list meanwhile.
func (p *Pool) mayReturn(now time.Time, rec *settledRecord) bool {
	if rec.settled.End == model.AttemptNotStarted || now.Sub(rec.at) > unreportedRetention {
		return false
	}
	e := p.endpoints[rec.settled.Endpoint]
	return e == nil || !e.lastSent.After(rec.at)
}

// HandleStartResult handles the result of a start call.
func (p *Pool) HandleStartResult(now time.Time, attempt model.AttemptID, r StartResult) Effects {
	a := p.attempts[attempt]
	if a == nil || !a.callOpen {
		return p.take()
	}
	a.callOpen = false
	a.callEnded = now
	switch r.Kind {
	case StartAnswered:
		p.finishAnswered(now, a, r)
	case StartAccepted:
		a.accepted = true
		p.finishReported(now, a)
	case StartRefused:
		p.finishRefused(now, a, r.Err)
	default:
		p.finishLost(now, a, r.Err)
	}
	return p.take()
}

func (p *Pool) finishAnswered(now time.Time, a *attemptState, r StartResult) {
	s := model.Settled{
		Attempt: a.id, End: model.AttemptEnded, Endpoint: a.endpoint.id,
		Answer: r.Answer, HasAnswer: true, RunMS: r.RunMS,
	}
	if a.reportedEnd != nil {
		s.Stopped = a.reportedEnd.Stopped
		p.measure(a.template, a.reportedEnd)
	}
	p.settle(now, a, s)
}

// finishReported settles an attempt whose end was listed before the start call ended.
func (p *Pool) finishReported(now time.Time, a *attemptState) {
	if a.reportedEnd != nil {
		p.settleReported(now, a, a.reportedEnd)
	}
}

// finishRefused settles an attempt that did not start. An attempt that the
// endpoint has listed did start, whatever the start call says.
func (p *Pool) finishRefused(now time.Time, a *attemptState, err error) {
	e := a.endpoint
	if a.seen || a.reportedEnd != nil {
		p.finishLost(now, a, err)
		return
	}
	p.settle(now, a, model.Settled{Attempt: a.id, End: model.AttemptNotStarted, Endpoint: e.id})
	p.noteRefusal(now, e, err)
}

func (p *Pool) finishLost(now time.Time, a *attemptState, err error) {
	if isRepeated(err) {
		a.seen = true // the earlier arrival may have run
	}
	p.event("lost", a.id, a.endpoint.id)
	p.finishReported(now, a)
}

// settleLapsed settles what ran on an endpoint whose lease has certainly run out.
func (p *Pool) settleLapsed(now time.Time, e *endpointState) {
	if len(e.attempts) == 0 || !e.lapsed(now, &p.cfg) {
		return
	}
	for _, a := range sortedAttempts(e) {
		if a.callOpen || now.Before(a.limit) {
			continue
		}
		p.settle(now, a, model.Settled{Attempt: a.id, End: model.AttemptUnknown, Endpoint: e.id, Stopped: true})
	}
	e.lostReplies = 0
}

// endGrace is how long a listed end waits for the start call to bring the answer.
const endGrace = time.Second

// settleGrace settles attempts whose start call hangs after their end was listed.
func (p *Pool) settleGrace(now time.Time, e *endpointState) {
	overdue := func(a *attemptState) bool {
		return a.reportedEnd != nil && now.Sub(a.reportedEndAt) > endGrace
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

func (p *Pool) event(name string, attempt model.AttemptID, detail string) {
	p.pending.Events = append(p.pending.Events, timeline.Event{
		Part: "pool", Name: name, Attempt: string(attempt), Detail: detail,
	})
}
