package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Bind assigns a grant to the best ready request. If it returns false, the grant must be
// returned to its pool owner; the effects are valid in either case. The starts are in the
// effects, or follow from IntentDurable. A grant with an empty template goes to the first
// request in the order of Demand whose size and pool match exactly.
func (t *Table) Bind(now time.Time, g model.Grant) (Effects, bool) {
	var fx Effects
	if len(g.Endpoints) == 0 {
		return fx, false
	}
	for _, q := range t.candidates(now, g) {
		if t.bindFrom(now, q, g, &fx) {
			return fx, true
		}
	}
	return fx, false
}

// candidates returns the queues whose work the grant covers. For a grant without a template
// they are in scheduling order.
func (t *Table) candidates(now time.Time, g model.Grant) []*classQueue {
	if g.Template == (model.TemplateID{}) {
		var queues []*classQueue
		for _, r := range t.ranks(now) {
			if r.queue.template.runsOn(g.Pool) && covers(g, r.queue.sizeClass) {
				queues = append(queues, r.queue)
			}
		}
		return queues
	}
	template := t.templates[g.Template]
	if template == nil || !template.runsOn(g.Pool) {
		return nil
	}
	return template.covered(g)
}

// covered returns the queues of the template whose work the grant covers.
func (t *templateState) covered(g model.Grant) []*classQueue {
	if !g.Hold {
		q := t.queue(sizeClass{g.Resources, len(g.Endpoints)})
		if q == nil {
			return nil
		}
		return []*classQueue{q}
	}
	var queues []*classQueue
	for _, q := range t.queues {
		if covers(g, q.sizeClass) {
			queues = append(queues, q)
		}
	}
	return queues
}

// covers reports whether the grant covers a unit of the class or, for a grant with Hold, a
// part of it.
func covers(g model.Grant, c sizeClass) bool {
	if g.Resources != c.resources {
		return false
	}
	return g.Hold || len(g.Endpoints) == c.tasks
}

// bindFrom assigns the grant to the best unit of the queue.
func (t *Table) bindFrom(now time.Time, q *classQueue, g model.Grant, fx *Effects) bool {
	for {
		u := q.best(g.Endpoints)
		if u == nil {
			return false
		}
		if u.job.startOverdue(now) {
			t.expire(now, u.job, fx)
			continue
		}
		if g.Hold {
			t.addGangGrant(now, u, g, fx)
		} else {
			t.start(now, u, []model.Grant{g}, fx)
		}
		return true
	}
}

// startOverdue reports whether the start deadline of a request that is not running has passed.
func (j *job) startOverdue(now time.Time) bool {
	return !j.startDeadline.IsZero() && !now.Before(j.startDeadline) && !j.released()
}

// addGangGrant adds a grant that covers part of a gang, and starts the gang when all tasks are
// covered.
func (t *Table) addGangGrant(now time.Time, u *unit, g model.Grant, fx *Effects) {
	u.heldGrants = append(u.heldGrants, g)
	if u.coveredTasks() >= u.count {
		grants := u.heldGrants
		u.heldGrants = nil
		t.start(now, u, grants, fx)
		return
	}
	if u.notBefore.IsZero() {
		u.notBefore = now.Add(t.cfg.HoldLimit)
		t.unitTimers.update(u)
	}
}

// start creates the attempts of a ready unit and releases them, or emits their intent record
// first.
func (t *Table) start(now time.Time, u *unit, grants []model.Grant, fx *Effects) {
	j := u.job
	q := t.queueOf(u)
	q.meter.add(now, 1)
	q.remove(now, u)
	u.notBefore = time.Time{}
	t.unitTimers.update(u)
	t.makeAttempts(u, grants)
	j.template.starts.add(now, retryWindow, 1)
	t.workspace(j.key.Template.Workspace).usage.add(now, t.cfg.RateWindow, float64(u.count))
	if !j.needsIntent() {
		t.release(now, u, fx)
		return
	}
	u.state = unitIntent
	t.intents[u.live[0].id] = u
	r := intentRecord(u)
	r.Time = now
	fx.Records = append(fx.Records, r)
	fx.event("intent", j.key, u.live[0].id, string(u.live[0].pool))
}

// makeAttempts distributes the tasks of the unit over the endpoints of the grants.
func (t *Table) makeAttempts(u *unit, grants []model.Grant) {
	u.round++
	task := u.first
	for _, g := range grants {
		for _, endpoint := range g.Endpoints {
			if task == u.first+u.count {
				return
			}
			a := &attempt{
				id:       model.NewAttemptID(u.job.key, task, t.rnd.Uint64()),
				unit:     u,
				task:     task,
				pool:     g.Pool,
				endpoint: endpoint,
				grant:    g,
			}
			t.addAttempt(a)
			task++
		}
	}
}

// addAttempt registers a live attempt with its unit.
func (t *Table) addAttempt(a *attempt) {
	t.attempts[a.id] = a
	a.unit.live = append(a.unit.live, a)
	a.unit.job.attempts++
	a.unit.job.lastAttempt = a.id
}

// release emits the starts of the unit's attempts for dispatch.
func (t *Table) release(now time.Time, u *unit, fx *Effects) {
	j := u.job
	u.state = unitRunning
	t.markStarted(now, j)
	for _, a := range u.live {
		fx.Starts = append(fx.Starts, Start{
			Key:         j.key,
			Attempt:     a.id,
			Task:        a.task,
			Grant:       a.grant,
			Endpoint:    a.endpoint,
			Kind:        j.kind,
			Idempotent:  j.idempotent,
			RunLimit:    j.runLimit,
			ContentType: j.contentType,
			Body:        j.body,
		})
		fx.event("start", j.key, a.id, a.endpoint)
	}
	t.updateWake(j)
}

// markStarted records that an attempt may be running from now on.
func (t *Table) markStarted(now time.Time, j *job) {
	j.started = true
	t.removeFromQueueUsage(j)
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
}

// IntentDurable releases the starts of an intent, unless the intent was withdrawn or the start
// deadline has passed.
func (t *Table) IntentDurable(now time.Time, a model.AttemptID) Effects {
	var fx Effects
	u := t.intents[a]
	if u == nil {
		return fx
	}
	if u.job.startOverdue(now) {
		t.expire(now, u.job, &fx)
		return fx
	}
	delete(t.intents, a)
	t.release(now, u, &fx)
	return fx
}

// IntentFailed withdraws an intent whose record could not be written. A waiting caller is
// answered not-run; an asynchronous request is queued again after a backoff.
func (t *Table) IntentFailed(now time.Time, a model.AttemptID) Effects {
	var fx Effects
	u := t.intents[a]
	if u == nil {
		return fx
	}
	j := u.job
	fx.event("intent-failed", j.key, a, "")
	if !j.async {
		r := refusal{model.ReasonStoreDown, "the intent could not be recorded", t.retryAfter(0)}
		t.finish(now, j, r.reply(), nil, &fx)
		return fx
	}
	t.withdraw(now, u, &fx)
	u.unstarted++
	t.backOff(now, u, t.cfg.RetryBase, u.unstarted, t.cfg.RetryMax)
	return fx
}
