package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// evidence is what is known of the attempts of one task after a takeover.
type evidence struct {
	attempt  model.AttemptID
	pool     model.PoolID
	endpoint string
	running  bool
	end      model.Settled // when it is not running
}

// weight orders evidence of several attempts of one task: a running attempt
// outweighs an end, and a good end a bad one.
func (e *evidence) weight() int {
	if e.running {
		return 10
	}
	switch e.end.End {
	case model.AttemptEnded:
		return 2 + severity(e.end)
	case model.AttemptUnknown:
		return 1
	default:
		return 0
	}
}

// evidenceOf returns the evidence for each task of a held request. It takes the
// found attempts away.
func (t *Table) evidenceOf(j *job, fx *Effects) map[int]evidence {
	known := map[int]evidence{}
	reported := map[model.AttemptID]bool{}
	add := func(task int, e evidence) {
		if j.unitOf(task) == nil {
			return
		}
		if old, ok := known[task]; !ok || e.weight() > old.weight() {
			known[task] = e
		}
	}
	for _, f := range j.shard.takeFound(j.hash, fx) {
		reported[f.state.Attempt] = true
		if task, ok := f.state.Attempt.Task(); ok {
			add(task, f.evidence())
		}
	}
	for i := range j.units {
		for _, end := range j.units[i].ends {
			reported[end.Attempt] = true
			if task, ok := end.Attempt.Task(); ok {
				add(task, evidence{attempt: end.Attempt, endpoint: end.Endpoint, end: end})
			}
		}
		j.units[i].ends = nil
	}
	for _, a := range j.intent {
		if !reported[a.Attempt] {
			add(a.Task, j.shard.missing(a))
		}
	}
	j.intent = nil
	return known
}

// evidence returns what the found attempt shows.
func (f foundAttempt) evidence() evidence {
	e := evidence{attempt: f.state.Attempt, pool: f.pool, endpoint: f.state.Endpoint, running: true}
	if f.state.Settled != nil {
		e.running, e.end = false, *f.state.Settled
	}
	return e
}

// missing returns what it shows that no pool reported an attempt of an intent:
// it never started if its endpoint was asked, otherwise its end is unknown.
func (s *shardState) missing(a IntentAttempt) evidence {
	e := evidence{attempt: a.Attempt, pool: a.Pool, endpoint: a.Endpoint}
	e.end = model.Settled{Attempt: a.Attempt, Endpoint: a.Endpoint, End: model.AttemptUnknown}
	if s.sees(a.Pool, a.Endpoint) {
		e.end.End = model.AttemptNotStarted
	}
	return e
}

// resolve decides over a held request: it joins running attempts, takes known
// ends, or queues the request. It may leave the request held.
func (t *Table) resolve(now time.Time, j *job, fx *Effects) {
	s := j.shard
	if s.mustHold(j, t.cfg.ClockSkew) && !j.conclusive() {
		return
	}
	known := t.evidenceOf(j, fx)
	t.setPhase(j, phaseQueued)
	fx.event("recovered", j.key, "", "")
	t.adopt(now, j, known, fx)
	if j.phase == phaseDone {
		return
	}
	if j.cancelled && !j.released() {
		t.finishWithLast(now, j, fx)
		return
	}
	if j.async && !j.accepted {
		t.acceptHeld(j, fx)
	}
	t.activate(now, j)
	t.updateWake(j)
}

// conclusive reports whether what is known of the attempts is enough to decide
// while others may be unseen. A recorded intent names every attempt. Without a record, a
// failed attempt may have been repeated where nobody looks, so each task must run or have
// ended well.
func (j *job) conclusive() bool {
	if j.needsIntent() {
		return len(j.intent) > 0
	}
	settled := map[int]bool{}
	for _, f := range j.shard.found[j.hash] {
		if task, ok := f.state.Attempt.Task(); ok && (f.state.Settled == nil || j.succeeded(*f.state.Settled)) {
			settled[task] = true
		}
	}
	for i := range j.units {
		for _, end := range j.units[i].ends {
			if task, ok := end.Attempt.Task(); ok && j.succeeded(end) {
				settled[task] = true
			}
		}
	}
	return len(settled) >= j.total
}

// acceptHeld asks for the acceptance record of a request that came during the recovery.
func (t *Table) acceptHeld(j *job, fx *Effects) {
	running := j.released()
	t.accept(j, fx)
	if running {
		t.setPhase(j, phaseQueued)
	}
}

// adopt applies the evidence to the units of the request.
func (t *Table) adopt(now time.Time, j *job, known map[int]evidence, fx *Effects) {
	for i := range j.units {
		t.adoptUnit(now, &j.units[i], known, fx)
		if j.phase == phaseDone {
			return
		}
	}
}

// adoptUnit applies the evidence to one unit.
func (t *Table) adoptUnit(now time.Time, u *unit, known map[int]evidence, fx *Effects) {
	seen, unstarted := 0, 0
	for task := u.first; task < u.first+u.count; task++ {
		e, ok := known[task]
		if ok {
			seen++
		}
		if ok && !e.running && e.end.End == model.AttemptNotStarted {
			unstarted++
		}
	}
	if seen == 0 || (seen == unstarted && !u.job.needsIntent()) {
		return
	}
	for task := u.first; task < u.first+u.count; task++ {
		t.adoptTask(now, u, task, known, fx)
	}
	if len(u.live) == 0 {
		t.conclude(now, u, fx)
		return
	}
	t.recordEnds(now, u, fx)
	t.stopIfDue(u, fx)
}

// recordEnds records the known ends of a gang that still runs.
func (t *Table) recordEnds(now time.Time, u *unit, fx *Effects) {
	if !u.job.journaled() {
		return
	}
	for _, end := range u.ends {
		if task, ok := end.Attempt.Task(); ok {
			r := endRecord(u, task, end, t.cfg.KeptAnswerBytes)
			r.Time = now
			fx.Records = append(fx.Records, r)
		}
	}
}

// adoptTask applies the evidence to one task of a unit of which something is known.
func (t *Table) adoptTask(now time.Time, u *unit, task int, known map[int]evidence, fx *Effects) {
	e, ok := known[task]
	switch {
	case ok && e.running:
		t.adoptAttempt(now, u, task, e, fx)
	case ok:
		u.job.lastAttempt = e.attempt
		u.ends = append(u.ends, e.end)
	default:
		u.ends = append(u.ends, model.Settled{End: t.endOfUnseen(u.job)})
	}
}

// endOfUnseen returns the end of a gang task of which nothing is known.
func (t *Table) endOfUnseen(j *job) model.AttemptEnd {
	if j.shard.blind(j.template) {
		return model.AttemptUnknown
	}
	return model.AttemptNotStarted
}

// adoptAttempt joins a running attempt. Its request goes ahead of others with its ordering key.
func (t *Table) adoptAttempt(now time.Time, u *unit, task int, e evidence, fx *Effects) {
	j := u.job
	t.addAttempt(&attempt{id: e.attempt, unit: u, task: task, pool: e.pool, endpoint: e.endpoint})
	u.state = unitRunning
	t.markStarted(now, j)
	fx.event("adopted", j.key, e.attempt, e.endpoint)
	if j.line == nil || j.line.front == j {
		return
	}
	t.deactivate(now, j.line.front, fx)
	j.line.toFront(j)
}

// stopIfDue stops an adopted unit that was cancelled or of which a task failed.
func (t *Table) stopIfDue(u *unit, fx *Effects) {
	stop := u.job.cancelled
	for _, end := range u.ends {
		stop = stop || !good(end)
	}
	if stop {
		t.stopUnit(u, fx)
	}
}
