package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Next returns the time at which Tick has something to do, or false.
func (t *Table) Next() (time.Time, bool) {
	var next time.Time
	if j, ok := t.jobTimers.first(); ok {
		next = j.wake
	}
	if u, ok := t.unitTimers.first(); ok && (next.IsZero() || u.notBefore.Before(next)) {
		next = u.notBefore
	}
	if len(t.foundAges) > 0 {
		if at := t.foundAges[0].at.Add(t.cfg.Retention); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if at := t.shedAt.Add(shedInterval); t.measured() && (next.IsZero() || at.Before(next)) {
		next = at
	}
	return next, !next.IsZero()
}

// Tick handles passed waits, backoffs, held grants and retention up to now.
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
	t.forgetFound(now, &fx)
	t.shedQueues(now, &fx)
	return fx
}

// wakeJob handles a request whose time has come.
func (t *Table) wakeJob(now time.Time, j *job, fx *Effects) {
	if j.phase == phaseDone {
		delete(j.shard.jobs, j.hash)
		return
	}
	t.expire(now, j, fx)
}

// wakeUnit ends a backoff, or returns the grants of a gang that was not covered in time.
func (t *Table) wakeUnit(now time.Time, u *unit, fx *Effects) {
	u.notBefore = time.Time{}
	switch u.state {
	case unitBackoff:
		t.ready(now, u)
	case unitReady:
		fx.event("hold-expired", u.job.key, "", "")
		fx.Returns = append(fx.Returns, u.held...)
		u.held = nil
	}
}

// expire answers a request that has not started, or not again, within its wait.
func (t *Table) expire(now time.Time, j *job, fx *Effects) {
	fx.event("expired", j.key, "", "")
	switch {
	case j.phase == phaseAccepting:
		// The record may become durable and its owner may die before the outcome is.
		t.finish(now, j, model.Reply{
			Outcome: model.OutcomeUnknown, Reason: model.ReasonStoreDown,
			Detail: "the acceptance was not recorded in time", RetryAfter: t.retryAfter(0),
		}, nil, fx)
	case j.phase == phaseHeld:
		t.expireHeld(now, j, fx)
	case j.last != nil:
		t.finishWithLast(now, j, fx)
	case j.inIntent():
		r := refusal{model.ReasonStoreDown, "the intent was not recorded in time", t.retryAfter(0)}
		t.finish(now, j, r.reply(), nil, fx)
	default:
		wait := t.predictWait(now, j.template, j.class)
		r := refusal{model.ReasonWaitExceeded, "", t.retryAfter(wait - j.maxWait)}
		t.finish(now, j, r.reply(), nil, fx)
	}
}

// inIntent reports whether a unit waits for the record of its intent.
func (j *job) inIntent() bool {
	for i := range j.units {
		if j.units[i].state == unitIntent {
			return true
		}
	}
	return false
}

// expireHeld answers the waiters of a request that waits for the recovery. A
// non-idempotent request without an intent in the replayed journal did not run,
// nor did one that was minted after the takeover; of others it is not known.
func (t *Table) expireHeld(now time.Time, j *job, fx *Effects) {
	s := j.shard
	recorded := j.needsIntent() && s.replayed
	fresh := !s.mintedBefore(j.key.ID, t.cfg.ClockSkew)
	unstarted := len(j.intent) == 0 && len(s.found[j.hash]) == 0 && (recorded || fresh)
	if unstarted && !j.replayed {
		r := refusal{model.ReasonWaitExceeded, "earlier attempts are being settled", t.retryAfter(0)}
		t.finish(now, j, r.reply(), nil, fx)
		return
	}
	if j.cancelled && !j.replayed {
		t.giveUpCancelled(now, j, fx)
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

// giveUpCancelled finishes a cancelled request of which it is not known whether
// it ran. Its record stays, because it would run in spite of the cancel when it is sent again.
func (t *Table) giveUpCancelled(now time.Time, j *job, fx *Effects) {
	for _, f := range j.shard.found[j.hash] {
		if f.state.Settled == nil {
			fx.Cancels = append(fx.Cancels, CancelAttempt{Attempt: f.state.Attempt, Pool: f.pool, Endpoint: f.state.Endpoint})
		}
	}
	t.finish(now, j, model.Reply{Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled}, nil, fx)
}

// forgetFound drops ends without a request after the retention.
func (t *Table) forgetFound(now time.Time, fx *Effects) {
	for len(t.foundAges) > 0 && !now.Before(t.foundAges[0].at.Add(t.cfg.Retention)) {
		age := t.foundAges[0]
		t.foundAges = t.foundAges[1:]
		s := t.shard(age.shard)
		if s == nil {
			continue
		}
		if s.forgetEnded(age.hash, now.Add(-t.cfg.Retention), fx) {
			t.foundAges = append(t.foundAges, foundAge{at: now, shard: age.shard, hash: age.hash})
		}
	}
}
