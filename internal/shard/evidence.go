package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// evidence is what is known after a takeover about the attempts of one task.
type evidence struct {
	attempt  model.AttemptID
	pool     model.PoolID
	endpoint string
	running  bool
	end      model.Settled // when it is not running
}

// precedence ranks the evidence of several attempts of one task: a running attempt ranks above
// one that is over, a success above a failure, and an unknown completion above an attempt that
// did not start.
func (e *evidence) precedence() int {
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

// collectEvidence returns the evidence for each task of a held request. It removes the
// matching unmatched attempts from the shard, and the replayed intent and completions from the
// request.
func (t *Table) collectEvidence(j *job, fx *Effects) map[int]evidence {
	known := map[int]evidence{}
	reported := map[model.AttemptID]bool{}
	add := func(task int, e evidence) {
		if j.unitOf(task) == nil {
			return
		}
		if old, ok := known[task]; !ok || e.precedence() > old.precedence() {
			known[task] = e
		}
	}
	for _, f := range j.shard.takeUnmatched(j.hash, fx) {
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
	for _, a := range j.replayedIntent {
		if !reported[a.Attempt] {
			add(a.Task, j.shard.evidenceOfUnreported(a))
		}
	}
	j.replayedIntent = nil
	return known
}

// evidence returns the evidence that the reported attempt provides.
func (f unmatchedAttempt) evidence() evidence {
	e := evidence{attempt: f.state.Attempt, pool: f.pool, endpoint: f.state.Endpoint, running: true}
	if f.state.Settled != nil {
		e.running, e.end = false, *f.state.Settled
	}
	return e
}

// evidenceOfUnreported returns the evidence for an attempt of an intent that no pool reported:
// it never started if its endpoint was covered by a report; otherwise its completion is unknown.
func (s *shardState) evidenceOfUnreported(a IntentAttempt) evidence {
	e := evidence{attempt: a.Attempt, pool: a.Pool, endpoint: a.Endpoint}
	e.end = model.Settled{Attempt: a.Attempt, Endpoint: a.Endpoint, End: model.AttemptUnknown}
	if s.endpointReported(a.Pool, a.Endpoint) {
		e.end.End = model.AttemptNotStarted
	}
	return e
}

// resolveHeldJob decides what happens to a held request: it adopts running attempts, applies
// known completions, or queues the request. The request stays held if too little is known.
func (t *Table) resolveHeldJob(now time.Time, j *job, fx *Effects) {
	s := j.shard
	if s.mustHold(j, t.cfg.ClockSkew) && !j.hasConclusiveEvidence() {
		return
	}
	known := t.collectEvidence(j, fx)
	t.setPhase(j, phaseQueued)
	fx.event("recovered", j.key, "", "")
	t.adopt(now, j, known, fx)
	if j.phase == phaseDone {
		return
	}
	if j.cancelled && !j.released() {
		t.finishWithLastEnd(now, j, fx)
		return
	}
	if j.async && !j.accepted {
		t.acceptHeld(j, fx)
	}
	t.activate(now, j)
	t.updateWake(j)
}

// hasConclusiveEvidence reports whether what is known about the attempts is enough to decide
// while other attempts may be unreported. A recorded intent names every attempt. Without a
// record, a failed attempt may have been retried on an unreported endpoint, so each task must
// be running or have succeeded.
func (j *job) hasConclusiveEvidence() bool {
	if j.needsIntent() {
		return len(j.replayedIntent) > 0
	}
	settled := map[int]bool{}
	for _, f := range j.shard.unmatched[j.hash] {
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
	return len(settled) >= j.taskCount
}

// acceptHeld emits the acceptance record of a request that was submitted during the recovery.
func (t *Table) acceptHeld(j *job, fx *Effects) {
	running := j.released()
	t.requestAcceptance(j, fx)
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
	withEvidence, unstarted := 0, 0
	for task := u.first; task < u.first+u.count; task++ {
		e, ok := known[task]
		if ok {
			withEvidence++
		}
		if ok && !e.running && e.end.End == model.AttemptNotStarted {
			unstarted++
		}
	}
	if withEvidence == 0 || (withEvidence == unstarted && !u.job.needsIntent()) {
		return
	}
	for task := u.first; task < u.first+u.count; task++ {
		t.adoptTask(now, u, task, known, fx)
	}
	if len(u.live) == 0 {
		t.concludeRound(now, u, fx)
		return
	}
	t.recordEnds(now, u, fx)
	t.stopIfCancelledOrFailed(u, fx)
}

// recordEnds records the known task completions of a gang that is still running.
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

// adoptTask applies the evidence to one task of a unit for which some evidence exists.
func (t *Table) adoptTask(now time.Time, u *unit, task int, known map[int]evidence, fx *Effects) {
	e, ok := known[task]
	switch {
	case ok && e.running:
		t.adoptAttempt(now, u, task, e, fx)
	case ok:
		u.job.lastAttempt = e.attempt
		u.ends = append(u.ends, e.end)
	default:
		u.ends = append(u.ends, model.Settled{End: t.endOfUnreportedTask(u.job)})
	}
}

// endOfUnreportedTask returns the completion of a gang task for which there is no evidence.
func (t *Table) endOfUnreportedTask(j *job) model.AttemptEnd {
	if j.shard.hasUnreportedEndpoints(j.template) {
		return model.AttemptUnknown
	}
	return model.AttemptNotStarted
}

// adoptAttempt adopts a running attempt. Its request moves ahead of others with the same
// ordering key.
func (t *Table) adoptAttempt(now time.Time, u *unit, task int, e evidence, fx *Effects) {
	j := u.job
	t.addAttempt(&attempt{id: e.attempt, unit: u, task: task, pool: e.pool, endpoint: e.endpoint})
	u.state = unitRunning
	t.markStarted(now, j)
	fx.event("adopted", j.key, e.attempt, e.endpoint)
	if j.keyQueue == nil || j.keyQueue.front == j {
		return
	}
	t.deactivate(now, j.keyQueue.front, fx)
	j.keyQueue.moveToFront(j)
}

// stopIfCancelledOrFailed stops an adopted unit that was cancelled or that has a failed task.
func (t *Table) stopIfCancelledOrFailed(u *unit, fx *Effects) {
	stop := u.job.cancelled
	for _, end := range u.ends {
		stop = stop || !endedCleanly(end)
	}
	if stop {
		t.stopUnit(u, fx)
	}
}
