package shard

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/model"
)

// Submit takes a request. The waiter is answered now or by the effects of a later call.
func (t *Table) Submit(now time.Time, s model.Submission, w WaiterID) Effects {
	var fx Effects
	owner := t.shard(s.Key.Shard())
	if owner == nil || owner.frozen {
		fx.answer(w, model.Reply{Reason: model.ReasonMoved})
		return fx
	}
	if earlier := owner.jobs[s.Key.Hash()]; earlier != nil {
		t.repeat(now, earlier, s, w, &fx)
		return fx
	}
	template := t.templates[s.Key.Template]
	if template == nil || template.removed {
		fx.answer(w, refusal{reason: model.ReasonUnknownTemplate}.reply())
		return fx
	}
	j := t.newJob(now, owner, template, s)
	t.take(now, j, waiter{id: w, async: s.Async}, &fx)
	return fx
}

// newJob returns the request of a submission. It is not registered yet.
func (t *Table) newJob(now time.Time, owner *shardState, template *templateState, s model.Submission) *job {
	j := &job{
		key:         s.Key,
		hash:        s.Key.Hash(),
		shard:       owner,
		template:    template,
		kind:        template.Kind,
		idempotent:  template.Idempotent,
		async:       s.Async,
		hasBody:     true,
		phase:       phaseQueued,
		class:       template.classOf(),
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
	j.limitWait(now)
	return j
}

// arrival returns the place in the order. A request that is sent again after its
// shard moved keeps the place that its identifier gives it.
func (t *Table) arrival(now time.Time, s model.Submission) time.Time {
	if !s.Resent {
		return now
	}
	minted, ok := model.IDTimestamp(s.Key.ID)
	if !ok || minted.After(now) || minted.Before(now.Add(-t.cfg.Retention)) {
		return now
	}
	return minted
}

// limitWait sets the time by which the request must start.
func (j *job) limitWait(now time.Time) {
	j.deadline = time.Time{}
	if j.maxWait > 0 && j.kind != model.KindService {
		j.deadline = now.Add(j.maxWait)
	}
}

// take admits a new request, or answers its waiter.
func (t *Table) take(now time.Time, j *job, w waiter, fx *Effects) {
	found := len(j.shard.found[j.hash]) > 0
	hold := j.shard.mustHold(j, t.cfg.ClockSkew)
	// An earlier attempt may run, so nothing but the age of the identifier refuses the request here.
	refused := t.checkIdentifier(now, j)
	if !found && !hold {
		refused = t.admit(now, j)
	}
	if refused != nil {
		fx.event("refused", j.key, "", string(refused.reason))
		fx.answer(w.id, t.certain(now, j, refused.reply()))
		return
	}
	if hold && t.full(j) {
		fx.answer(w.id, model.Reply{
			Outcome: model.OutcomeUnknown, Reason: model.ReasonRecovering,
			Detail: "queue of the template is full", RetryAfter: t.retryAfter(0),
		})
		return
	}
	t.register(j)
	j.waiters = append(j.waiters, w)
	t.count(j)
	t.placeInLine(now, j, fx)
	switch {
	case hold || found:
		t.setPhase(j, phaseHeld)
		fx.event("held", j.key, "", "")
		t.resolveOne(now, j, fx)
		t.resolveUnblocked(now, j.shard, fx)
	case j.async:
		t.accept(j, fx)
	default:
		fx.event("queued", j.key, "", "")
		t.activate(now, j)
	}
	if j.phase != phaseDone {
		t.updateWake(j)
	}
}

// register makes the request known to its shard.
func (t *Table) register(j *job) { j.shard.jobs[j.hash] = j }

// placeInLine puts the request into the line of its ordering key. A request at
// the front that has not started gives way to one that arrived earlier.
func (t *Table) placeInLine(now time.Time, j *job, fx *Effects) {
	j.shard.join(j)
	if j.line == nil || j.line.front != j || j.next == nil {
		return
	}
	t.deactivate(now, j.next, fx)
}

// setPhase changes the phase and keeps the count of held requests.
func (t *Table) setPhase(j *job, p phase) {
	if j.phase == phaseHeld {
		j.shard.held--
	}
	if p == phaseHeld {
		j.shard.held++
	}
	j.phase = p
}

// count adds the request to the bounds of its template's queue.
func (t *Table) count(j *job) {
	if j.counted {
		return
	}
	j.counted = true
	j.template.entries++
	j.template.bytes += int64(len(j.body))
}

// uncount takes the request out of the bounds.
func (t *Table) uncount(j *job) {
	if !j.counted {
		return
	}
	j.counted = false
	j.template.entries--
	j.template.bytes -= int64(len(j.body))
}

// repeat handles a submission whose identifier is known.
func (t *Table) repeat(now time.Time, j *job, s model.Submission, w WaiterID, fx *Effects) {
	if j.key != s.Key || j.bodyHash != xxhash.Sum64(s.Body) {
		fx.event("refused", s.Key, "", string(model.ReasonRecordConflict))
		fx.answer(w, conflictReply())
		return
	}
	fx.event("joined", j.key, "", "")
	if j.phase == phaseDone && j.settledForWaiters() {
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

// settledForWaiters reports whether the outcome may be told. The outcome of a
// replayed request may be overruled by a later record until all have come, and
// an accepted request whose not-run is not durable would run after a crash.
func (j *job) settledForWaiters() bool {
	return !j.unconfirmed && (!j.replayed || j.shard.replayed)
}

func conflictReply() model.Reply {
	return model.Reply{
		Outcome: model.OutcomeNotRun,
		Reason:  model.ReasonRecordConflict,
		Detail:  "identifier was used before with another body",
	}
}

// recordedReply returns the reply to a repeat of a finished request.
func (j *job) recordedReply() model.Reply {
	r := j.reply
	r.Joined = true
	return r
}

// completeReplayed gives a request that is known from its intent only the body
// of its repeat, so that it can be dispatched anew.
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
	j.limitWait(now)
	t.count(j)
	t.updateWake(j)
}

// RemoveWaiter removes a waiter that no longer wants its reply. The request stays.
func (t *Table) RemoveWaiter(key model.RequestKey, w WaiterID) {
	j := t.find(key)
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
