package shard

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Settle applies the completion of an attempt. Repeated, late and unknown completions are
// allowed. The pool owner keeps the completion until the attempt is in Acks.
func (t *Table) Settle(now time.Time, s model.Settled) Effects {
	var fx Effects
	a := t.attempts[s.Attempt]
	if a == nil {
		t.settleUnknown(now, s, &fx)
		return fx
	}
	u := a.unit
	fx.Acks = append(fx.Acks, s.Attempt)
	if u.state == unitIntent {
		// The attempt was not released, so it can't have run.
		return fx
	}
	if s.Endpoint == "" {
		s.Endpoint = a.endpoint
	}
	if s.End == model.AttemptEnded && s.RunMS > 0 {
		u.job.template.observeRunTime(time.Duration(s.RunMS) * time.Millisecond)
	}
	delete(t.attempts, a.id)
	u.removeLive(a.id)
	u.ends = append(u.ends, s)
	fx.event("end", u.job.key, a.id, string(s.End))
	t.handleTaskEnd(now, u, a.task, s, &fx)
	return fx
}

// handleTaskEnd applies the completion of one task to its unit.
func (t *Table) handleTaskEnd(now time.Time, u *unit, task int, s model.Settled, fx *Effects) {
	if len(u.live) == 0 {
		t.concludeRound(now, u, fx)
		return
	}
	if u.job.journaled() {
		r := endRecord(u, task, s, t.cfg.KeptAnswerBytes)
		r.Time = now
		fx.Records = append(fx.Records, r)
	}
	if !endedCleanly(s) {
		t.stopUnit(u, fx)
	}
}

// endedCleanly reports whether an attempt ended without being stopped and without a server
// error.
func endedCleanly(s model.Settled) bool {
	return s.End == model.AttemptEnded && !s.Stopped && !s.Answer.Failed()
}

// succeeded reports whether the completion needs no retry. A request also needs an answer, because
// its caller waits for one.
func (j *job) succeeded(s model.Settled) bool {
	return endedCleanly(s) && (s.HasAnswer || j.kind != model.KindRequest)
}

// stopUnit requests the stop of the unit's live attempts, unless that was done before.
func (t *Table) stopUnit(u *unit, fx *Effects) {
	if u.stopping {
		return
	}
	u.stopping = true
	for _, a := range u.live {
		fx.Cancels = append(fx.Cancels, CancelAttempt{Attempt: a.id, Pool: a.pool, Endpoint: a.endpoint})
	}
}

// concludeRound decides how to continue when no attempt of the unit is live any more.
func (t *Table) concludeRound(now time.Time, u *unit, fx *Effects) {
	ends := u.ends
	u.ends, u.stopping = nil, false
	end := combineEnds(ends)
	j := u.job
	u.state = unitIdle
	first := j.lastEnd == nil
	if end.End != model.AttemptNotStarted {
		j.lastEnd = &end
	}
	switch {
	case j.kind == model.KindService:
		t.concludeReplica(now, u, end, first, fx)
	case end.End == model.AttemptNotStarted:
		t.requeueUnstarted(now, u, fx)
	case j.succeeded(end):
		t.finishWithLastEnd(now, j, fx)
	case j.cancelled || !t.scheduleRetry(now, u, ends):
		t.finishWithLastEnd(now, j, fx)
	default:
		fx.event("retry", j.key, end.Attempt, string(end.End))
		t.recordConcluded(now, u, end, fx)
	}
}

// recordConcluded records the combined completion of a round after which the unit may be started
// again.
func (t *Table) recordConcluded(now time.Time, u *unit, end model.Settled, fx *Effects) {
	if !u.job.journaled() {
		return
	}
	r := concludedRecord(u, end, t.cfg.KeptAnswerBytes)
	r.Time = now
	fx.Records = append(fx.Records, r)
}

// combineEnds combines the task completions of a unit. An unknown one takes precedence, then a
// failure, then a stop. The combined completion is NotStarted only if no task started.
func combineEnds(ends []model.Settled) model.Settled {
	worst := slices.MinFunc(ends, func(a, b model.Settled) int { return severity(a) - severity(b) })
	if worst.End != model.AttemptNotStarted {
		return worst
	}
	for _, s := range ends {
		if s.End != model.AttemptNotStarted {
			// Part of the gang ran, so the gang as a whole counts as stopped, not as not started.
			s.Stopped = true
			return s
		}
	}
	return worst
}

// severity ranks completions, worst first.
func severity(s model.Settled) int {
	switch {
	case s.End == model.AttemptUnknown:
		return 0
	case s.End == model.AttemptEnded && s.Answer.Failed() && !s.Stopped:
		return 1
	case s.End == model.AttemptEnded && s.Stopped:
		return 2
	case s.End == model.AttemptNotStarted:
		return 3
	case !s.HasAnswer:
		return 4
	default:
		return 5
	}
}

// requeueUnstarted queues a unit whose attempts did not start, or ends its request if it is
// cancelled, overdue or without a body.
func (t *Table) requeueUnstarted(now time.Time, u *unit, fx *Effects) {
	j := u.job
	switch {
	case j.cancelled:
		t.finishWithLastEnd(now, j, fx)
		return
	case !j.hasBody:
		// Only the intent is known. The request is treated as new when it is submitted again.
		t.remove(now, j, fx)
		return
	case j.shard.frozen:
		return
	case j.startOverdue(now):
		t.expire(now, j, fx)
		return
	}
	u.unstarted++
	if u.unstarted == 1 {
		t.ready(now, u)
	} else {
		t.backOff(now, u, t.cfg.RetryBase, u.unstarted-2, t.cfg.RetryMax)
	}
	t.updateWake(j)
}

// maxFailedEndpoints bounds the list of endpoints that a request avoids.
const maxFailedEndpoints = 32

// exhaustedBudgetBackoff is the first backoff of an accepted job whose template has exhausted
// its retry budget. It spreads the retries after the failure of a worker over seconds.
const exhaustedBudgetBackoff = 3 * time.Second

// scheduleRetry prepares a retry of an idempotent request, or returns false if it must not be
// retried.
func (t *Table) scheduleRetry(now time.Time, u *unit, ends []model.Settled) bool {
	j := u.job
	if !j.idempotent || !j.hasBody || u.retries >= j.template.RetryLimit {
		return false
	}
	budget := j.template.retryBudgetLeft(now, &t.cfg)
	if !budget && !j.accepted {
		return false
	}
	u.retries++
	u.unstarted = 0
	j.template.retries.add(now, retryWindow, 1)
	for _, s := range ends {
		avoid := s.End == model.AttemptUnknown || s.Answer.Failed() || !s.HasAnswer && !s.Stopped
		if avoid && s.End != model.AttemptNotStarted && s.Endpoint != "" && len(u.failedEndpoints) < maxFailedEndpoints {
			u.failedEndpoints = append(u.failedEndpoints, s.Endpoint)
		}
	}
	if j.shard.frozen {
		return true
	}
	base := t.cfg.RetryBase
	if !budget {
		// An accepted job must run. It waits longer, until the budget has
		// recovered, instead of ending without an answer.
		base = exhaustedBudgetBackoff
	}
	t.backOff(now, u, base, u.retries-1, max(base, t.cfg.RetryMax))
	// The retry gets a new start deadline; the run time of the earlier attempt does not count against it.
	j.setStartDeadline(u.notBefore)
	t.updateWake(j)
	return true
}

// stableRun is how long a replica must run before its restart backoff is reset.
const stableRun = time.Minute

// concludeReplica restarts a replica of a service, or ends it after a cancellation.
func (t *Table) concludeReplica(now time.Time, u *unit, end model.Settled, first bool, fx *Effects) {
	j := u.job
	if first && j.lastEnd != nil {
		// One record is enough to show that the service has run.
		t.recordConcluded(now, u, end, fx)
	}
	if j.cancelled {
		u.state = unitDone
		t.finishCancelledService(now, j, fx)
		return
	}
	switch {
	case end.End == model.AttemptNotStarted:
		u.unstarted++
	case time.Duration(end.RunMS)*time.Millisecond >= stableRun:
		u.retries, u.unstarted = 0, 0
	default:
		u.retries++
		u.unstarted = 0
		// Only the last endpoint is avoided, because a service may fail on any number of endpoints over its lifetime.
		u.failedEndpoints = []string{end.Endpoint}
	}
	if j.shard.frozen {
		return
	}
	t.backOff(now, u, t.cfg.RetryBase, u.retries+u.unstarted, t.cfg.RestartMax)
	fx.event("restart", j.key, end.Attempt, string(end.End))
}

// finishCancelledService finishes a cancelled service when its last replica has ended.
func (t *Table) finishCancelledService(now time.Time, j *job, fx *Effects) {
	if !j.released() {
		t.finishWithLastEnd(now, j, fx)
	}
}

// settleUnknown handles the completion of an attempt that is not live in this table.
func (t *Table) settleUnknown(now time.Time, s model.Settled, fx *Effects) {
	id, ok := s.Attempt.Shard()
	hash, valid := s.Attempt.RequestHash()
	owned := t.shard(id)
	if !ok || !valid || owned == nil {
		return
	}
	j := owned.jobs[hash]
	if owned.recordUnmatchedEnd(hash, s) {
		t.resolveIfHeld(now, j, fx)
		t.resolveIfNoneRunning(now, owned, fx)
		return
	}
	if j != nil && j.phase != phaseHeld {
		fx.Acks = append(fx.Acks, s.Attempt)
		t.lateEnd(now, j, s, fx)
		return
	}
	if j == nil && s.End != model.AttemptEnded && !owned.recovering {
		fx.Acks = append(fx.Acks, s.Attempt)
		return
	}
	t.addUnmatched(now, owned, hash, unmatchedAttempt{
		state: model.AttemptState{Attempt: s.Attempt, Endpoint: s.Endpoint, Settled: &s}, reportedAt: now,
	})
	t.resolveIfHeld(now, j, fx)
}

// lateEnd replaces an unknown outcome by an answer that arrived later. The waiters already
// have their reply; resubmissions and status calls get the answer.
func (t *Table) lateEnd(now time.Time, j *job, s model.Settled, fx *Effects) {
	isLast := j.lastAttempt == s.Attempt && j.taskCount == 1
	if j.phase != phaseDone || j.reply.Outcome != model.OutcomeUnknown || !isLast || s.End != model.AttemptEnded {
		return
	}
	j.lastEnd = &s
	t.keepReply(j, replyFor(j), j.lastEnd)
	fx.event("late-end", j.key, s.Attempt, "")
	if j.journaled() {
		r := outcomeRecord(j)
		r.Time = now
		fx.Records = append(fx.Records, r)
	}
}
