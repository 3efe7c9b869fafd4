package standin

import (
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// report returns the reply to a session call. It reports the usage at the time now-lag.
func (l *ledger) report(now, lag time.Duration, kind string) endpoint.SessionReply {
	r := endpoint.SessionReply{
		Instance: l.instance,
		ClockMS:  now.Milliseconds(),
		Kind:     kind,
		Capacity: l.capacity,
		Leaving:  l.leaving,
	}
	for _, a := range l.running() {
		r.Running = append(r.Running, a.report(now, lag))
	}
	for _, a := range l.unacknowledged {
		r.Ended = append(r.Ended, a.endReport())
	}
	return r
}

func (a *attempt) report(now, lag time.Duration) endpoint.RunningAttempt {
	return endpoint.RunningAttempt{
		Attempt:   a.id,
		Template:  a.template,
		Resources: a.resources,
		RunMS:     (now - a.startedAt).Milliseconds(),
		Usage:     a.usage(now - lag),
		Throttled: a.throttled,
	}
}

func (a *attempt) endReport() endpoint.EndedAttempt {
	e := endpoint.EndedAttempt{
		Seq:      a.seq,
		Attempt:  a.id,
		Template: a.template,
		RunMS:    (a.endedAt - a.startedAt).Milliseconds(),
		MaxUsage: a.usage(a.startedAt),
		Stopped:  a.reason != EndDone && a.reason != EndFailed,
	}
	if e.Stopped || len(a.answer.Body) > maxReportedAnswerBytes {
		return e
	}
	e.Answer, e.HasAnswer = a.answer, true
	return e
}

// usage returns the simulated usage at the time, which is zero before the start. A
// change of throttling applies immediately, without the lag.
func (a *attempt) usage(at time.Duration) model.Resources {
	if at < a.startedAt {
		return model.Resources{}
	}
	u := a.work.Usage
	if u.IsZero() {
		u = a.resources
	}
	if a.throttled {
		u.CoresMilli /= throttleFactor
	}
	return u
}
