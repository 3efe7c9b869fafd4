package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Next returns the time at which Tick has work to do, or false if there is none.
func (t *Table) Next() (time.Time, bool) {
	var next time.Time
	if j, ok := t.jobTimers.first(); ok {
		next = j.wakeAt
	}
	if u, ok := t.unitTimers.first(); ok && (next.IsZero() || u.notBefore.Before(next)) {
		next = u.notBefore
	}
	if len(t.unmatchedAges) > 0 {
		if at := t.unmatchedAges[0].at.Add(t.cfg.Retention); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if at := t.lastShed.Add(shedInterval); t.hasMeasuredBacklog() && (next.IsZero() || at.Before(next)) {
		next = at
	}
	return next, !next.IsZero()
}

// Tick handles expired waits, backoffs, held grants and retention periods up to now, and
// refuses queued requests that will not start in time.
func (t *Table) Tick(now time.Time) Effects {
	var fx Effects
	for {
		j, ok := t.jobTimers.pop(now)
		if !ok {
			break
		}
		t.wakeJob(now, j, &fx)
	}
	for {
		u, ok := t.unitTimers.pop(now)
		if !ok {
			break
		}
		t.wakeUnit(now, u, &fx)
	}
	t.dropExpiredUnmatched(now, &fx)
	t.shedQueues(now, &fx)
	return fx
}

// wakeJob handles a request whose wake time has been reached.
func (t *Table) wakeJob(now time.Time, j *job, fx *Effects) {
	if j.phase == phaseDone {
		delete(j.shard.jobs, j.hash)
		return
	}
	t.expire(now, j, fx)
}

// wakeUnit ends a backoff, or returns the grants of a gang that was not fully covered in time.
func (t *Table) wakeUnit(now time.Time, u *unit, fx *Effects) {
	u.notBefore = time.Time{}
	switch u.state {
	case unitBackoff:
		t.ready(now, u)
	case unitReady:
		fx.event("hold-expired", u.job.key, "", "")
		fx.Returns = append(fx.Returns, u.heldGrants...)
		u.heldGrants = nil
	}
}

// expire answers a request that was not started, or not restarted after a failed attempt, by
// its start deadline.
func (t *Table) expire(now time.Time, j *job, fx *Effects) {
	fx.event("expired", j.key, "", "")
	switch {
	case j.phase == phaseAccepting:
		// The record may still become durable, and this owner may die before the outcome is.
		t.finish(now, j, model.Reply{
			Outcome: model.OutcomeUnknown, Reason: model.ReasonStoreDown,
			Detail: "the acceptance was not recorded in time", RetryAfter: t.retryAfter(0),
		}, nil, fx)
	case j.phase == phaseHeld:
		t.expireHeld(now, j, fx)
	case j.lastEnd != nil:
		t.finishWithLastEnd(now, j, fx)
	case j.inIntent():
		r := refusal{model.ReasonStoreDown, "the intent was not recorded in time", t.retryAfter(0)}
		t.finish(now, j, r.reply(), nil, fx)
	default:
		wait := t.predictWait(now, j.template, j.sizeClass)
		r := refusal{model.ReasonWaitExceeded, "", t.retryAfter(wait - j.maxWait)}
		t.finish(now, j, r.reply(), nil, fx)
	}
}

// inIntent reports whether a unit waits for its intent record to become durable.
func (j *job) inIntent() bool {
	for i := range j.units {
		if j.units[i].state == unitIntent {
			return true
		}
	}
	return false
}

// expireHeld answers the waiters of a request that waits for the recovery. A non-idempotent
// request without an intent in the replayed journal did not run, nor did one whose identifier
// was generated after the takeover; for others it is not known.
func (t *Table) expireHeld(now time.Time, j *job, fx *Effects) {
	s := j.shard
	recorded := j.needsIntent() && s.replayed
	afterTakeover := !s.mayPredateTakeover(j.key.ID, t.cfg.ClockSkew)
	neverStarted := len(j.replayedIntent) == 0 && len(s.unmatched[j.hash]) == 0 && (recorded || afterTakeover)
	if neverStarted && !j.replayed {
		r := refusal{model.ReasonWaitExceeded, "earlier attempts are being settled", t.retryAfter(0)}
		t.finish(now, j, r.reply(), nil, fx)
		return
	}
	if j.cancelled && !j.replayed {
		t.finishCancelledAsUnknown(now, j, fx)
		return
	}
	for _, w := range j.waiters {
		fx.answer(w.id, model.Reply{
			Outcome: model.OutcomeUnknown, Reason: model.ReasonRecovering,
			RetryAfter: t.retryAfter(0), Joined: w.joined,
		})
	}
	j.waiters = nil
	if !j.replayed {
		t.remove(now, j, fx)
		return
	}
	t.updateWake(j)
}

// finishCancelledAsUnknown finishes a cancelled request that may or may not have run. Its
// record is kept; without it, the request would run despite the cancellation when it is
// submitted again.
func (t *Table) finishCancelledAsUnknown(now time.Time, j *job, fx *Effects) {
	for _, f := range j.shard.unmatched[j.hash] {
		if f.state.Settled == nil {
			fx.Cancels = append(fx.Cancels, CancelAttempt{Attempt: f.state.Attempt, Pool: f.pool, Endpoint: f.state.Endpoint})
		}
	}
	t.finish(now, j, model.Reply{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled}, nil, fx)
}

// dropExpiredUnmatched drops unmatched attempts that are over after the retention.
func (t *Table) dropExpiredUnmatched(now time.Time, fx *Effects) {
	for len(t.unmatchedAges) > 0 && !now.Before(t.unmatchedAges[0].at.Add(t.cfg.Retention)) {
		age := t.unmatchedAges[0]
		t.unmatchedAges = t.unmatchedAges[1:]
		s := t.shard(age.shard)
		if s == nil {
			continue
		}
		if s.dropEndedUnmatched(age.hash, now.Add(-t.cfg.Retention), fx) {
			t.unmatchedAges = append(t.unmatchedAges, unmatchedAge{at: now, shard: age.shard, hash: age.hash})
		}
	}
}
