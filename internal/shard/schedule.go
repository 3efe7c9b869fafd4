package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// activate makes the idle units of a queued request ready when it is its turn.
func (t *Table) activate(now time.Time, j *job) {
	if j.phase != phaseQueued || j.cancelled || j.shard.frozen || !j.hasTurn() {
		return
	}
	for i := range j.units {
		if j.units[i].state == unitIdle {
			t.makeReady(now, &j.units[i])
		}
	}
}

// deactivate takes the units of a request that has not started out of their queues.
func (t *Table) deactivate(now time.Time, j *job, fx *Effects) {
	for i := range j.units {
		u := &j.units[i]
		if u.state == unitReady || u.state == unitBackoff {
			t.withdraw(now, u, fx)
			u.state = unitIdle
		}
	}
}

// ready queues the unit if it is its turn, and leaves it idle otherwise.
func (t *Table) ready(now time.Time, u *unit) {
	u.state = unitIdle
	t.activate(now, u.job)
}

// queueOf returns the queue of a unit.
func (t *Table) queueOf(u *unit) *classQueue {
	return u.job.template.ensureQueue(u.job.class, t.cfg.RateWindow)
}

// makeReady queues the unit.
func (t *Table) makeReady(now time.Time, u *unit) {
	u.state = unitReady
	u.notBefore = time.Time{}
	t.unitTimers.update(u)
	t.queueOf(u).insert(now, u)
}

// withdraw takes a unit that has no live attempt out of the queue, the timers and the
// pending intents, and returns its grants. The caller sets the next state.
func (t *Table) withdraw(now time.Time, u *unit, fx *Effects) {
	switch u.state {
	case unitReady:
		t.queueOf(u).remove(now, u)
	case unitIntent:
		t.withdrawIntent(u, fx)
	}
	fx.Returns = append(fx.Returns, u.held...)
	u.held = nil
	u.notBefore = time.Time{}
	t.unitTimers.update(u)
}

// withdrawIntent forgets the attempts of an intent that was not released. A
// later notice that its record is durable finds nothing.
func (t *Table) withdrawIntent(u *unit, fx *Effects) {
	if len(u.live) == 0 {
		return
	}
	delete(t.intents, u.live[0].id)
	for i, a := range u.live {
		delete(t.attempts, a.id)
		// The attempts of one grant are neighbours.
		if i == 0 || !sameGrant(a.grant, u.live[i-1].grant) {
			fx.Returns = append(fx.Returns, a.grant)
		}
	}
	u.live = nil
}

// sameGrant reports whether a and b are one grant.
func sameGrant(a, b model.Grant) bool {
	return a.ID == b.ID && a.Pool == b.Pool && a.Owner == b.Owner
}

// updateWake sets the time at which Tick looks at the request.
func (t *Table) updateWake(j *job) {
	j.wake = t.wakeTime(j)
	t.jobTimers.update(j)
}

func (t *Table) wakeTime(j *job) time.Time {
	switch {
	case j.phase == phaseDone:
		return t.evictionTime(j)
	case j.shard.frozen, j.replayed && j.phase == phaseHeld && len(j.waiters) == 0:
		return time.Time{}
	case j.released():
		return time.Time{}
	default:
		return j.deadline
	}
}

// released reports whether an attempt of the request was released to run.
func (j *job) released() bool {
	for i := range j.units {
		u := &j.units[i]
		if len(u.live) > 0 && u.state != unitIntent {
			return true
		}
	}
	return false
}

// evictionTime returns the end of the retention. It counts from the minting time when
// that is later than the end, because the identifier is accepted until then.
func (t *Table) evictionTime(j *job) time.Time {
	from := j.endedAt
	if minted, ok := model.IDTimestamp(j.key.ID); ok && minted.After(from) && minted.Before(from.Add(2*t.cfg.ClockSkew)) {
		from = minted
	}
	return from.Add(t.cfg.Retention + t.cfg.ClockSkew)
}

// backOff makes the unit ready again after a wait with jitter.
func (t *Table) backOff(now time.Time, u *unit, base time.Duration, round int, longest time.Duration) {
	wait := min(base<<min(round, maxDoublings), longest)
	wait = time.Duration(float64(wait) * (0.5 + t.rnd.Float64()))
	u.state = unitBackoff
	u.notBefore = now.Add(wait)
	t.unitTimers.update(u)
}

// maxDoublings keeps the shift of a backoff in range.
const maxDoublings = 16
