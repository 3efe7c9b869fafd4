package shard

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/model"
)

// Submit handles a submitted request. The waiter is answered now or by the effects of a later
// call.
func (t *Table) Submit(now time.Time, s model.Submission, w WaiterID) Effects {
	var fx Effects
	state := t.shard(s.Key.Shard())
	if state == nil || state.frozen {
		fx.answer(w, model.Reply{Reason: model.ReasonMoved})
		return fx
	}
	if earlier := state.jobs[s.Key.Hash()]; earlier != nil {
		t.joinExisting(now, earlier, s, w, &fx)
		return fx
	}
	template := t.templates[s.Key.Template]
	if template == nil || template.removed {
		fx.answer(w, refusal{reason: model.ReasonUnknownTemplate}.reply())
		return fx
	}
	j := t.newJob(now, state, template, s)
	t.admitNew(now, j, waiter{id: w, async: s.Async}, &fx)
	return fx
}

// newJob creates the request of a submission. It is not registered yet.
func (t *Table) newJob(now time.Time, state *shardState, template *templateState, s model.Submission) *job {
	j := &job{
		key:         s.Key,
		hash:        s.Key.Hash(),
		shard:       state,
		template:    template,
		kind:        template.Kind,
		idempotent:  template.Idempotent,
		async:       s.Async,
		hasBody:     true,
		phase:       phaseQueued,
		sizeClass:   template.classOf(),
		maxWait:     s.MaxWait,
		runLimit:    template.RunLimit,
		bodyHash:    xxhash.Sum64(s.Body),
		contentType: s.ContentType,
		body:        s.Body,
		submitted:   now,
		arrived:     t.arrival(now, s),
		seq:         t.nextSeq(),
	}
	if j.maxWait <= 0 {
		j.maxWait = template.MaxWait
	}
	j.makeUnits(template.taskCount())
	j.setStartDeadline(now)
	return j
}

// arrival returns the time that determines the order of the request. A resubmission with Resent
// is ordered by the timestamp of its identifier, unless that is in the future or older than the
// retention.
func (t *Table) arrival(now time.Time, s model.Submission) time.Time {
	if !s.Resent {
		return now
	}
	created, ok := model.IDTimestamp(s.Key.ID)
	if !ok || created.After(now) || created.Before(now.Add(-t.cfg.Retention)) {
		return now
	}
	return created
}

// setStartDeadline sets the time by which the request must start.
func (j *job) setStartDeadline(now time.Time) {
	j.startDeadline = time.Time{}
	if j.maxWait > 0 && j.kind != model.KindService {
		j.startDeadline = now.Add(j.maxWait)
	}
}

// admitNew admits a new request, or answers its waiter.
func (t *Table) admitNew(now time.Time, j *job, w waiter, fx *Effects) {
	unmatched := len(j.shard.unmatched[j.hash]) > 0
	hold := j.shard.mustHold(j, t.cfg.ClockSkew)
	// If an earlier attempt may be running, only the identifier check can refuse the request.
	refused := t.checkIdentifier(now, j)
	if !unmatched && !hold {
		refused = t.checkAdmission(now, j)
	}
	if refused != nil {
		fx.event("refused", j.key, "", string(refused.reason))
		fx.answer(w.id, t.downgradeUncertainNotRun(now, j, refused.reply()))
		return
	}
	if !unmatched && t.recordMayBeLost(now, j) {
		fx.event("record-lost", j.key, "", "")
		fx.answer(w.id, model.Reply{
			Outcome: model.OutcomeUnknown, Reason: model.ReasonRecovering, Detail: "records of an earlier owner are damaged",
		})
		return
	}
	if hold && t.queueFull(j) {
		fx.answer(w.id, model.Reply{
			Outcome: model.OutcomeUnknown, Reason: model.ReasonRecovering,
			Detail: "queue of the template is full", RetryAfter: t.retryAfter(0),
		})
		return
	}
	t.register(j)
	j.waiters = append(j.waiters, w)
	t.addToQueueUsage(j)
	t.placeInOrderingQueue(now, j, fx)
	switch {
	case hold || unmatched:
		t.setPhase(j, phaseHeld)
		fx.event("held", j.key, "", "")
		t.resolveIfHeld(now, j, fx)
		t.resolveIfNoneRunning(now, j.shard, fx)
	case j.async:
		t.requestAcceptance(j, fx)
	default:
		fx.event("queued", j.key, "", "")
		t.activate(now, j)
	}
	if j.phase != phaseDone {
		t.updateWake(j)
	}
}

// recordMayBeLost reports whether the request may have run under an earlier owner whose record
// of it is missing. It must not run a second time.
func (t *Table) recordMayBeLost(now time.Time, j *job) bool {
	s := j.shard
	return s.incomplete && j.journaled() && now.Sub(s.takeoverTime) <= t.cfg.Retention && s.mayPredateTakeover(j.key.ID, t.cfg.ClockSkew)
}

// register adds the request to its shard.
func (t *Table) register(j *job) { j.shard.jobs[j.hash] = j }

// placeInOrderingQueue adds the request to the queue of its ordering key. If it becomes first,
// the request that was first before, which has not started, is deactivated.
func (t *Table) placeInOrderingQueue(now time.Time, j *job, fx *Effects) {
	j.shard.joinOrderingQueue(j)
	if j.keyQueue == nil || j.keyQueue.front != j || j.next == nil {
		return
	}
	t.deactivate(now, j.next, fx)
}

// setPhase changes the phase and maintains the count of held requests.
func (t *Table) setPhase(j *job, p phase) {
	if j.phase == phaseHeld {
		j.shard.heldCount--
	}
	if p == phaseHeld {
		j.shard.heldCount++
	}
	j.phase = p
}

// addToQueueUsage counts the request against the queue limits of its template.
func (t *Table) addToQueueUsage(j *job) {
	if j.countedInQueue {
		return
	}
	j.countedInQueue = true
	j.template.queueEntries++
	j.template.queueBytes += int64(len(j.body))
}

// removeFromQueueUsage stops counting the request against the queue limits of its template.
func (t *Table) removeFromQueueUsage(j *job) {
	if !j.countedInQueue {
		return
	}
	j.countedInQueue = false
	j.template.queueEntries--
	j.template.queueBytes -= int64(len(j.body))
}

// joinExisting handles a submission whose identifier is already known.
func (t *Table) joinExisting(now time.Time, j *job, s model.Submission, w WaiterID, fx *Effects) {
	if j.key != s.Key || j.bodyHash != xxhash.Sum64(s.Body) {
		fx.event("refused", s.Key, "", string(model.ReasonRecordConflict))
		fx.answer(w, conflictReply())
		return
	}
	fx.event("joined", j.key, "", "")
	if j.phase == phaseDone && j.outcomeVisible() {
		fx.answer(w, j.recordedReply())
		return
	}
	if s.Async && j.async && j.phase != phaseAccepting {
		fx.answer(w, model.Reply{Accepted: true, Joined: true})
		return
	}
	j.waiters = append(j.waiters, waiter{id: w, async: s.Async, joined: true})
	t.completeReplayed(now, j, s)
}

// outcomeVisible reports whether the outcome may be reported to callers. Until all records are
// replayed, a later record may overrule the outcome of a replayed request, and an accepted
// request whose not-run outcome is not durable would run after a crash.
func (j *job) outcomeVisible() bool {
	return !j.outcomePending && (!j.replayed || j.shard.replayed)
}

func conflictReply() model.Reply {
	return model.Reply{
		Outcome: model.OutcomeNotRun,
		Reason:  model.ReasonRecordConflict,
		Detail:  "identifier was used before with another body",
	}
}

// recordedReply returns the reply to a resubmission of a finished request.
func (j *job) recordedReply() model.Reply {
	r := j.reply
	r.Joined = true
	return r
}

// completeReplayed sets the body from a resubmission if the request is known only from its
// intent, so that it can be dispatched again.
func (t *Table) completeReplayed(now time.Time, j *job, s model.Submission) {
	if j.hasBody || j.phase == phaseDone {
		return
	}
	j.hasBody = true
	j.body, j.contentType = s.Body, s.ContentType
	j.maxWait = s.MaxWait
	if j.maxWait <= 0 {
		j.maxWait = j.template.MaxWait
	}
	j.setStartDeadline(now)
	t.addToQueueUsage(j)
	t.updateWake(j)
}

// RemoveWaiter removes a waiter that no longer needs its reply. The request is not affected.
func (t *Table) RemoveWaiter(key model.RequestKey, w WaiterID) {
	j := t.findJob(key)
	if j == nil {
		return
	}
	for i := range j.waiters {
		if j.waiters[i].id == w {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			return
		}
	}
}
