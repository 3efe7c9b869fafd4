package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// finish sets the outcome of the request, answers its waiters and activates the next request
// with the same ordering key. The waiters of an accepted request that did not run are answered
// by OutcomeDurable instead. No released attempt may be live. The answer in r is complete even
// when it is too large to be kept; end is the completion that it comes from, or nil.
func (t *Table) finish(now time.Time, j *job, r model.Reply, end *model.Settled, fx *Effects) {
	r = t.downgradeUncertainNotRun(now, j, r)
	t.detach(now, j, fx)
	t.setPhase(j, phaseDone)
	j.endedAt = now
	j.outcomePending = j.accepted && r.Outcome == model.OutcomeNotRun
	if !j.outcomePending {
		j.answerAll(r, fx)
	}
	fx.event("done", j.key, "", string(r.Outcome)+" "+string(r.Reason))
	t.keepReply(j, r, end)
	if j.journaled() {
		record := outcomeRecord(j)
		record.Time = now
		fx.Records = append(fx.Records, record)
	}
	if !j.retainsRecord() {
		delete(j.shard.jobs, j.hash)
	}
	j.body, j.units, j.replayedIntent, j.lastEnd = nil, nil, nil, nil
	j.wakeAt = time.Time{}
	if j.retainsRecord() {
		j.wakeAt = t.nextWake(j)
	}
	t.jobTimers.update(j)
}

// answerAll answers all waiters.
func (j *job) answerAll(r model.Reply, fx *Effects) {
	for _, w := range j.waiters {
		reply := r
		reply.Joined = w.joined
		fx.answer(w.id, reply)
	}
	j.waiters = nil
}

// OutcomeDurable answers the waiters of an accepted request that did not run. Until its
// outcome is durable the request is reported as queued, because a successor without the record
// would run it.
func (t *Table) OutcomeDurable(_ time.Time, key model.RequestKey) Effects {
	var fx Effects
	j := t.findJob(key)
	if j == nil || !j.outcomePending {
		return fx
	}
	j.outcomePending = false
	j.answerAll(j.reply, &fx)
	return fx
}

// downgradeUncertainNotRun changes the outcome of the reply from not-run to unknown where
// not-run is not certain: an idempotent synchronous request has no record, so it may have run
// and ended under an owner that died.
func (t *Table) downgradeUncertainNotRun(now time.Time, j *job, r model.Reply) model.Reply {
	takeover := j.shard.takeoverTime
	if r.Outcome != model.OutcomeNotRun || j.journaled() || takeover.IsZero() {
		return r
	}
	if now.Sub(takeover) <= t.cfg.Retention && j.shard.mayPredateTakeover(j.key.ID, t.cfg.ClockSkew) {
		r.Outcome = model.OutcomeUnknown
	}
	return r
}

// retainsRecord reports whether resubmissions get the recorded reply of the finished request.
// An idempotent synchronous request that was not started here runs when it is submitted again,
// unless it was cancelled.
func (j *job) retainsRecord() bool {
	return j.journaled() || j.cancelled || j.started
}

// keepReply stores the reply, without its answer if that is too large.
func (t *Table) keepReply(j *job, r model.Reply, end *model.Settled) {
	j.reply = r
	j.keptAnswer = end != nil && end.HasAnswer && len(end.Answer.Body) <= t.cfg.KeptAnswerBytes
	if j.keptAnswer || end == nil || !end.HasAnswer {
		return
	}
	j.reply.Answer = model.Answer{Status: r.Answer.Status}
	if j.reply.Reason == "" {
		j.reply.Reason = model.ReasonAnswerTooLarge
	}
}

// finishWithLastEnd finishes the request with the completion of its last attempt, or as not-run
// if no attempt may have run.
func (t *Table) finishWithLastEnd(now time.Time, j *job, fx *Effects) {
	t.finish(now, j, replyFor(j), j.lastEnd, fx)
}

// replyFor returns the reply that follows from the last attempt of the request.
func replyFor(j *job) model.Reply {
	end := j.lastEnd
	if end == nil {
		return model.Reply{Outcome: model.OutcomeNotRun, Reason: model.ReasonCancelled}
	}
	if end.End == model.AttemptUnknown {
		return model.Reply{Outcome: model.OutcomeUnknown, Reason: unknownReason(j)}
	}
	r := model.Reply{Outcome: model.OutcomeRan}
	if end.HasAnswer {
		r.Answer = end.Answer
	}
	switch {
	case end.Stopped && j.cancelled:
		r.Reason = model.ReasonCancelled
	case end.Stopped:
		r.Reason = model.ReasonStopped
	case !end.HasAnswer && j.kind == model.KindRequest:
		r.Reason, r.Detail = model.ReasonAnswerTooLarge, "the endpoint no longer has the answer"
	}
	return r
}

// unknownReason returns the reason why the outcome of the request is not known.
func unknownReason(j *job) model.Reason {
	if j.idempotent && !j.cancelled {
		return model.ReasonRetriesSpent
	}
	return model.ReasonAttemptLost
}

// detach removes the request from the class queues, the unit timers and its ordering queue.
func (t *Table) detach(now time.Time, j *job, fx *Effects) {
	for i := range j.units {
		u := &j.units[i]
		t.withdraw(now, u, fx)
		u.state = unitDone
	}
	t.removeFromQueueUsage(j)
	if next := j.shard.leaveOrderingQueue(j); next != nil {
		t.activate(now, next)
	}
}

// remove deletes a request as if it had never been submitted. It must have no waiters and no
// live attempts.
func (t *Table) remove(now time.Time, j *job, fx *Effects) {
	t.detach(now, j, fx)
	t.setPhase(j, phaseDone)
	delete(j.shard.jobs, j.hash)
	j.wakeAt = time.Time{}
	t.jobTimers.update(j)
}
