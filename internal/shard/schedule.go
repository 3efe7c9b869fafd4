package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// activate makes the idle units of a queued request ready if no earlier request with its
// ordering key is unfinished.
func (t *Table) activate(now time.Time, j *job) {
	if j.phase != phaseQueued || j.cancelled || j.shard.frozen || !j.isFirstInOrder() {
		return
	}
	for i := range j.units {
		if j.units[i].state == unitIdle {
			t.makeReady(now, &j.units[i])
		}
	}
}

// deactivate removes the units of a request that is not running from their queues.
func (t *Table) deactivate(now time.Time, j *job, fx *Effects) {
	for i := range j.units {
		u := &j.units[i]
		if u.state == unitReady || u.state == unitBackoff {
			t.withdraw(now, u, fx)
			u.state = unitIdle
		}
	}
}

// ready queues the unit if its request may run now, and leaves it idle otherwise.
func (t *Table) ready(now time.Time, u *unit) {
	u.state = unitIdle
	t.activate(now, u.job)
}

// queueOf returns the class queue of a unit.
func (t *Table) queueOf(u *unit) *classQueue {
	return u.job.template.ensureQueue(u.job.sizeClass, t.cfg.RateWindow)
}

// makeReady queues the unit.
func (t *Table) makeReady(now time.Time, u *unit) {
	u.state = unitReady
	u.notBefore = time.Time{}
	t.unitTimers.update(u)
	t.queueOf(u).insert(now, u)
}

// withdraw removes a unit without released attempts from the queue, the timers and the pending
// intents, and returns its grants. The caller sets the next state.
func (t *Table) withdraw(now time.Time, u *unit, fx *Effects) {
	switch u.state {
	case unitReady:
		t.queueOf(u).remove(now, u)
	case unitIntent:
		t.withdrawIntent(u, fx)
	}
	fx.Returns = append(fx.Returns, u.heldGrants...)
	u.heldGrants = nil
	u.notBefore = time.Time{}
	t.unitTimers.update(u)
}

// withdrawIntent deletes the attempts of an intent that was not released. A later call of
// IntentDurable for it has no effect.
func (t *Table) withdrawIntent(u *unit, fx *Effects) {
	if len(u.live) == 0 {
		return
	}
	delete(t.intents, u.live[0].id)
	for i, a := range u.live {
		delete(t.attempts, a.id)
		// The attempts of one grant are adjacent.
		if i == 0 || !sameGrant(a.grant, u.live[i-1].grant) {
			fx.Returns = append(fx.Returns, a.grant)
		}
	}
	u.live = nil
}

// sameGrant reports whether a and b are the same grant.
func sameGrant(a, b model.Grant) bool {
	return a.ID == b.ID && a.Pool == b.Pool && a.Owner == b.Owner
}

// updateWake sets the time at which Tick handles the request.
func (t *Table) updateWake(j *job) {
	j.wakeAt = t.nextWake(j)
	t.jobTimers.update(j)
}

// nextWake returns the time at which Tick must handle the request; zero for never.
func (t *Table) nextWake(j *job) time.Time {
	switch {
	case j.phase == phaseDone:
		return t.evictionTime(j)
	case j.shard.frozen, j.replayed && j.phase == phaseHeld && len(j.waiters) == 0:
		return time.Time{}
	case j.released():
		return time.Time{}
	default:
		return j.startDeadline
	}
}

// released reports whether a live attempt of the request was released for dispatch.
func (j *job) released() bool {
	for i := range j.units {
		u := &j.units[i]
		if len(u.live) > 0 && u.state != unitIntent {
			return true
		}
	}
	return false
}

// evictionTime returns the end of the retention. It is measured from the timestamp of the
// identifier if that is later than the end of the request, by less than twice the clock skew,
// because the identifier is accepted until its age exceeds the retention.
func (t *Table) evictionTime(j *job) time.Time {
	from := j.endedAt
	if created, ok := model.IDTimestamp(j.key.ID); ok && created.After(from) && created.Before(from.Add(2*t.cfg.ClockSkew)) {
		from = created
	}
	return from.Add(t.cfg.Retention + t.cfg.ClockSkew)
}

// backOff makes the unit ready again after an exponential backoff with jitter.
func (t *Table) backOff(now time.Time, u *unit, base time.Duration, round int, longest time.Duration) {
	wait := min(base<<min(round, maxDoublings), longest)
	wait = time.Duration(float64(wait) * (0.5 + t.rnd.Float64()))
	u.state = unitBackoff
	u.notBefore = now.Add(wait)
	t.unitTimers.update(u)
}

// maxDoublings bounds the shift in a backoff, to prevent an overflow.
const maxDoublings = 16
