package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Replay applies a record from a journal. Records of shards that are not owned, or whose
// records have all been replayed, are ignored.
func (t *Table) Replay(now time.Time, r Record) {
	s := t.shard(r.Shard)
	if s == nil || s.replayed || !r.complete() {
		return
	}
	if r.Kind == RecordRelease {
		t.replayRelease(now, s)
		return
	}
	j := t.replayedJob(now, s, r)
	if j == nil {
		return
	}
	switch r.Kind {
	case RecordAcceptance:
		t.replayAcceptance(now, j, r)
	case RecordIntent:
		t.replayIntent(j, r)
	case RecordEnd:
		replayEnd(j, r)
	case RecordCancel:
		j.cancelled = true
	case RecordOutcome:
		t.replayOutcome(now, j, r)
	}
	t.updateWake(j)
}

// replayedJob returns the request of the record, or nil if the record has no effect on the
// request in its current phase.
func (t *Table) replayedJob(now time.Time, s *shardState, r Record) *job {
	j := s.jobs[r.Key.Hash()]
	switch {
	case r.Kind == RecordCancel || r.Kind == RecordEnd:
		// These records alone do not create a request: without an acceptance, intent or
		// outcome record there is no state to restore.
		if j == nil || j.phase != phaseHeld || j.bodyHash != r.BodyHash {
			return nil
		}
		return j
	case j == nil:
		return t.newReplayedJob(s, r)
	case j.phase == phaseDone && r.Kind == RecordAcceptance:
		// The identifier was reused after the retention.
		s.conflictWaiters = append(s.conflictWaiters, j.waiters...)
		j.waiters = nil
		t.remove(now, j, &Effects{})
		return t.newReplayedJob(s, r)
	case j.phase == phaseDone && r.Kind != RecordOutcome:
		return nil
	case j.phase != phaseDone && j.phase != phaseHeld:
		return nil
	case !j.replayed && j.bodyHash != r.BodyHash:
		s.conflictWaiters = append(s.conflictWaiters, j.waiters...)
		j.waiters = nil
		t.remove(now, j, &Effects{})
		return t.newReplayedJob(s, r)
	default:
		j.replayed = true
		return j
	}
}

// newReplayedJob registers a request that is known only from its records.
func (t *Table) newReplayedJob(s *shardState, r Record) *job {
	template := t.ensureTemplate(r.Key.Template)
	j := &job{
		key:       r.Key,
		hash:      r.Key.Hash(),
		shard:     s,
		template:  template,
		kind:      template.Kind,
		async:     r.Async,
		replayed:  true,
		phase:     phaseQueued,
		sizeClass: template.classOf(),
		runLimit:  template.RunLimit,
		bodyHash:  r.BodyHash,
		submitted: r.Time,
		arrived:   r.Time,
		seq:       t.nextSeq(),
	}
	if j.kind == "" {
		j.kind = model.KindJob
	}
	j.makeUnits(template.taskCount())
	t.register(j)
	t.setPhase(j, phaseHeld)
	s.joinOrderingQueue(j)
	return j
}

// replayAcceptance restores an accepted request.
func (t *Table) replayAcceptance(now time.Time, j *job, r Record) {
	t.describe(j, r.Acceptance)
	j.async, j.accepted = true, true
	j.submitted = r.Time
	j.setStartDeadline(r.Time)
	t.addToQueueUsage(j)
	t.moveInOrderingQueue(now, j, r.Time)
}

// describe sets what the request runs and with which parameters.
func (t *Table) describe(j *job, a *Acceptance) {
	t.removeFromQueueUsage(j)
	j.kind, j.idempotent = a.Kind, a.Idempotent
	j.sizeClass = sizeClass{resources: a.Resources, tasks: 1}
	if a.Kind == model.KindGang {
		j.sizeClass.tasks = max(1, a.Tasks)
	}
	j.makeUnits(max(1, a.Tasks))
	j.runLimit, j.maxWait = a.RunLimit, a.MaxWait
	j.contentType, j.body, j.hasBody = a.ContentType, a.Body, true
	if j.template.Kind == "" {
		// The template is not known yet; the kind determines its pools.
		j.template.Kind = a.Kind
	}
}

// moveInOrderingQueue moves the request to the position that the given arrival time has in its
// ordering queue.
func (t *Table) moveInOrderingQueue(now time.Time, j *job, arrived time.Time) {
	j.arrived = arrived
	if j.keyQueue == nil {
		return
	}
	if next := j.shard.leaveOrderingQueue(j); next != nil {
		t.activate(now, next)
	}
	j.shard.joinOrderingQueue(j)
}

// replayIntent restores the attempts of the last intent. It replaces an earlier intent of the
// same request, because a later intent exists only if the attempts of the earlier one did not
// start.
func (t *Table) replayIntent(j *job, r Record) {
	j.replayedIntent = r.Intent.Attempts
	for i := range j.units {
		j.units[i].ends = nil
	}
}

// replayEnd restores the completion of a task or of a round.
func replayEnd(j *job, r Record) {
	u := j.unitOf(r.End.Task)
	if u == nil || r.End.Round < u.round {
		return
	}
	if r.End.Concluded {
		lastEnd := r.End.Settled
		j.lastEnd = &lastEnd
		u.round, u.retries, u.ends = r.End.Round, r.End.Retries, nil
		return
	}
	if r.End.Round > u.round {
		u.round, u.ends = r.End.Round, nil
	}
	u.ends = append(u.ends, r.End.Settled)
}

// replayOutcome restores a finished request. Replayed answers its waiters.
func (t *Table) replayOutcome(now time.Time, j *job, r Record) {
	if j.phase != phaseDone {
		t.detach(now, j, &Effects{})
		t.setPhase(j, phaseDone)
	}
	o := r.Outcome
	j.reply = model.Reply{Outcome: o.Outcome, Reason: o.Reason, Detail: o.Detail}
	j.keptAnswer = o.Answer != nil
	if o.Answer != nil {
		j.reply.Answer = *o.Answer
	}
	j.async, j.cancelled = r.Async, o.Cancelled
	j.submitted, j.startedAt, j.endedAt = o.Submitted, o.Started, r.Time
	j.taskCount, j.attempts, j.lastAttempt = o.Tasks, o.Attempts, o.LastAttempt
	j.body, j.units, j.replayedIntent, j.lastEnd = nil, nil, nil, nil
}

// replayRelease drops what was replayed so far, because the shard had another owner after the
// release. Waiters that joined are answered with ReasonMoved and submit again.
func (t *Table) replayRelease(now time.Time, s *shardState) {
	for _, j := range s.jobsByArrival() {
		if !j.replayed {
			continue
		}
		s.movedWaiters = append(s.movedWaiters, j.waiters...)
		j.waiters = nil
		t.remove(now, j, &Effects{})
	}
}
