package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// finish gives the request its outcome, answers its waiters and lets the next one of its
// ordering key run. No attempt may be live. The answer in r is whole even
// when it is too large to be kept; end is the attempt that it comes from, or nil.
func (t *Table) finish(now time.Time, j *job, r model.Reply, end *model.Settled, fx *Effects) {
	r = t.certain(now, j, r)
	t.detach(now, j, fx)
	t.setPhase(j, phaseDone)
	j.endedAt = now
	j.unconfirmed = j.accepted && r.Outcome == model.OutcomeNotRun
	if !j.unconfirmed {
		j.answerAll(r, fx)
	}
	fx.event("done", j.key, "", string(r.Outcome)+" "+string(r.Reason))
	t.keepReply(j, r, end)
	if j.journaled() {
		record := outcomeRecord(j)
		record.Time = now
		fx.Records = append(fx.Records, record)
	}
	if !j.kept() {
		delete(j.shard.jobs, j.hash)
	}
	j.body, j.units, j.intent, j.last = nil, nil, nil, nil
	j.wake = time.Time{}
	if j.kept() {
		j.wake = t.wakeTime(j)
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

// OutcomeDurable tells that an accepted request did not run. Until then its status stays
// queued, because a successor that lacks the record would run it.
func (t *Table) OutcomeDurable(_ time.Time, key model.RequestKey) Effects {
	var fx Effects
	j := t.find(key)
	if j == nil || !j.unconfirmed {
		return fx
	}
	j.unconfirmed = false
	j.answerAll(j.reply, &fx)
	return fx
}

// certain returns the reply with an unknown outcome where not-run can't be
// known: an idempotent request has no record, so it may have run and ended
// under an owner that died.
func (t *Table) certain(now time.Time, j *job, r model.Reply) model.Reply {
	taken := j.shard.takenAt
	if r.Outcome != model.OutcomeNotRun || j.journaled() || taken.IsZero() {
		return r
	}
	if now.Sub(taken) <= t.cfg.Retention && j.shard.mintedBefore(j.key.ID, t.cfg.ClockSkew) {
		r.Outcome = model.OutcomeUnknown
	}
	return r
}

// kept reports whether repeats get the recorded reply of the finished request.
// An idempotent request that was not started here is run when it is sent
// again, unless it was cancelled.
func (j *job) kept() bool {
	return j.journaled() || j.cancelled || j.started
}

// keepReply records the reply without an answer that is too large.
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

// finishWithLast finishes the request with the end of its last attempt.
func (t *Table) finishWithLast(now time.Time, j *job, fx *Effects) {
	t.finish(now, j, replyFor(j), j.last, fx)
}

// replyFor returns the reply that the last attempt of the request calls for.
func replyFor(j *job) model.Reply {
	end := j.last
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

// unknownReason says why the end of the request is not known.
func unknownReason(j *job) model.Reason {
	if j.idempotent && !j.cancelled {
		return model.ReasonRetriesSpent
	}
	return model.ReasonAttemptLost
}

// detach takes the request out of the queues, the timers of its units and its line.
func (t *Table) detach(now time.Time, j *job, fx *Effects) {
	for i := range j.units {
		u := &j.units[i]
		t.withdraw(now, u, fx)
		u.state = unitOver
	}
	t.uncount(j)
	if next := j.shard.leave(j); next != nil {
		t.activate(now, next)
	}
}

// remove forgets a request as if it had never come. It must have no waiters and no live attempts.
func (t *Table) remove(now time.Time, j *job, fx *Effects) {
	t.detach(now, j, fx)
	t.setPhase(j, phaseDone)
	delete(j.shard.jobs, j.hash)
	j.wake = time.Time{}
	t.jobTimers.update(j)
}
