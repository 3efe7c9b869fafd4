package shard

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Settle takes the end of an attempt. Repeated, late and unknown ends are
// allowed. The pool owner keeps the end until the attempt is in Acks.
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
		// The attempt was not released, so nobody can have run it.
		return fx
	}
	if s.Endpoint == "" {
		s.Endpoint = a.endpoint
	}
	if s.End == model.AttemptEnded && s.RunMS > 0 {
		u.job.template.observeRun(time.Duration(s.RunMS) * time.Millisecond)
	}
	delete(t.attempts, a.id)
	u.dropLive(a.id)
	u.ends = append(u.ends, s)
	fx.event("end", u.job.key, a.id, string(s.End))
	t.afterEnd(now, u, a.task, s, &fx)
	return fx
}

// afterEnd decides what the end of one task means for its unit.
func (t *Table) afterEnd(now time.Time, u *unit, task int, s model.Settled, fx *Effects) {
	if len(u.live) == 0 {
		t.conclude(now, u, fx)
		return
	}
	if u.job.journaled() {
		r := endRecord(u, task, s, t.cfg.KeptAnswerBytes)
		r.Time = now
		fx.Records = append(fx.Records, r)
	}
	if !good(s) {
		t.stopUnit(u, fx)
	}
}

// good reports whether an attempt ended as it should.
func good(s model.Settled) bool {
	return s.End == model.AttemptEnded && !s.Stopped && !s.Answer.Failed()
}

// succeeded reports whether the end needs no repeat. A caller of a request waits for its answer.
func (j *job) succeeded(s model.Settled) bool {
	return good(s) && (s.HasAnswer || j.kind != model.KindRequest)
}

// stopUnit asks once to stop the live attempts of the unit.
func (t *Table) stopUnit(u *unit, fx *Effects) {
	if u.stopping {
		return
	}
	u.stopping = true
	for _, a := range u.live {
		fx.Cancels = append(fx.Cancels, CancelAttempt{Attempt: a.id, Pool: a.pool, Endpoint: a.endpoint})
	}
}

// conclude decides what follows when no attempt of the unit is live any more.
func (t *Table) conclude(now time.Time, u *unit, fx *Effects) {
	ends := u.ends
	u.ends, u.stopping = nil, false
	end := combine(ends)
	j := u.job
	u.state = unitIdle
	first := j.last == nil
	if end.End != model.AttemptNotStarted {
		j.last = &end
	}
	switch {
	case j.kind == model.KindService:
		t.concludeReplica(now, u, end, first, fx)
	case end.End == model.AttemptNotStarted:
		t.startAnew(now, u, fx)
	case j.succeeded(end):
		t.finishWithLast(now, j, fx)
	case j.cancelled || !t.retry(now, u, ends):
		t.finishWithLast(now, j, fx)
	default:
		fx.event("retry", j.key, end.Attempt, string(end.End))
		t.recordConcluded(now, u, end, fx)
	}
}

// recordConcluded records the end of a round that is followed by another one.
func (t *Table) recordConcluded(now time.Time, u *unit, end model.Settled, fx *Effects) {
	if !u.job.journaled() {
		return
	}
	r := concludedRecord(u, end, t.cfg.KeptAnswerBytes)
	r.Time = now
	fx.Records = append(fx.Records, r)
}

// combine sums up the ends of the tasks of a unit. An unknown end outweighs the
// others, then a failure, then a stop. NotStarted holds only for all of them.
func combine(ends []model.Settled) model.Settled {
	worst := slices.MinFunc(ends, func(a, b model.Settled) int { return severity(a) - severity(b) })
	if worst.End != model.AttemptNotStarted {
		return worst
	}
	for _, s := range ends {
		if s.End != model.AttemptNotStarted {
			// A part of the gang ran, so the whole did not stay unstarted.
			s.Stopped = true
			return s
		}
	}
	return worst
}

// severity orders ends, worst first.
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

// startAnew queues a unit whose attempts did not start.
func (t *Table) startAnew(now time.Time, u *unit, fx *Effects) {
	j := u.job
	switch {
	case j.cancelled:
		t.finishWithLast(now, j, fx)
		return
	case !j.hasBody:
		// Only the intent is known. The request starts afresh when it is sent again.
		t.remove(now, j, fx)
		return
	case j.shard.frozen:
		return
	case j.overdue(now):
		t.expire(now, j, fx)
		return
	}
	u.refused++
	if u.refused == 1 {
		t.ready(now, u)
	} else {
		t.backOff(now, u, t.cfg.RetryBase, u.refused-2, t.cfg.RetryMax)
	}
	t.updateWake(j)
}

// maxFailedEndpoints bounds the list of endpoints that a request avoids.
const maxFailedEndpoints = 32

// budgetPause is the first backoff of an accepted job whose template has used up
// its retry budget. It spreads the repeats of a failed worker over seconds.
const budgetPause = 3 * time.Second

// retry prepares a repeat of an idempotent request, or returns false.
func (t *Table) retry(now time.Time, u *unit, ends []model.Settled) bool {
	j := u.job
	if !j.idempotent || !j.hasBody || u.retries >= j.template.RetryLimit {
		return false
	}
	budget := j.template.mayRetry(now, &t.cfg)
	if !budget && !j.accepted {
		return false
	}
	u.retries++
	u.refused = 0
	j.template.retries.add(now, retryWindow, 1)
	for _, s := range ends {
		avoid := s.End == model.AttemptUnknown || s.Answer.Failed() || !s.HasAnswer && !s.Stopped
		if avoid && s.End != model.AttemptNotStarted && s.Endpoint != "" && len(u.failed) < maxFailedEndpoints {
			u.failed = append(u.failed, s.Endpoint)
		}
	}
	if j.shard.frozen {
		return true
	}
	base := t.cfg.RetryBase
	if !budget {
		// An accepted job has to run. It waits until the budget has recovered
		// rather than ending without an answer.
		base = budgetPause
	}
	t.backOff(now, u, base, u.retries-1, max(base, t.cfg.RetryMax))
	// The repeat has a wait of its own; the run of the earlier attempt does not count against it.
	j.limitWait(u.notBefore)
	t.updateWake(j)
	return true
}

// stableRun is how long a replica must run before its restart backoff begins again.
const stableRun = time.Minute

// concludeReplica restarts a replica of a service, or ends it after a cancel.
func (t *Table) concludeReplica(now time.Time, u *unit, end model.Settled, first bool, fx *Effects) {
	j := u.job
	if first && j.last != nil {
		// One record is enough to know that the service has run.
		t.recordConcluded(now, u, end, fx)
	}
	if j.cancelled {
		u.state = unitOver
		t.finishStopped(now, j, fx)
		return
	}
	switch {
	case end.End == model.AttemptNotStarted:
		u.refused++
	case time.Duration(end.RunMS)*time.Millisecond >= stableRun:
		u.retries, u.refused = 0, 0
	default:
		u.retries++
		u.refused = 0
		// Only the last endpoint is avoided: a service outlives every list of failures.
		u.failed = []string{end.Endpoint}
	}
	if j.shard.frozen {
		return
	}
	t.backOff(now, u, t.cfg.RetryBase, u.retries+u.refused, t.cfg.RestartMax)
	fx.event("restart", j.key, end.Attempt, string(end.End))
}

// finishStopped finishes a cancelled service when its last replica is over.
func (t *Table) finishStopped(now time.Time, j *job, fx *Effects) {
	if !j.released() {
		t.finishWithLast(now, j, fx)
	}
}

// settleUnknown takes the end of an attempt that is not live here.
func (t *Table) settleUnknown(now time.Time, s model.Settled, fx *Effects) {
	id, ok := s.Attempt.Shard()
	hash, valid := s.Attempt.RequestHash()
	owner := t.shard(id)
	if !ok || !valid || owner == nil {
		return
	}
	j := owner.jobs[hash]
	if owner.endFound(hash, s) {
		t.resolveOne(now, j, fx)
		t.resolveUnblocked(now, owner, fx)
		return
	}
	if j != nil && j.phase != phaseHeld {
		fx.Acks = append(fx.Acks, s.Attempt)
		t.lateEnd(now, j, s, fx)
		return
	}
	if j == nil && s.End != model.AttemptEnded && !owner.recovering {
		fx.Acks = append(fx.Acks, s.Attempt)
		return
	}
	t.addFound(now, owner, hash, foundAttempt{
		state: model.AttemptState{Attempt: s.Attempt, Endpoint: s.Endpoint, Settled: &s}, at: now,
	})
	t.resolveOne(now, j, fx)
}

// lateEnd replaces an unknown outcome by the answer that came later. The
// waiters have their reply; repeats and status calls get the answer.
func (t *Table) lateEnd(now time.Time, j *job, s model.Settled, fx *Effects) {
	isLast := j.lastAttempt == s.Attempt && j.total == 1
	if j.phase != phaseDone || j.reply.Outcome != model.OutcomeUnknown || !isLast || s.End != model.AttemptEnded {
		return
	}
	j.last = &s
	t.keepReply(j, replyFor(j), j.last)
	fx.event("late-end", j.key, s.Attempt, "")
	if j.journaled() {
		r := outcomeRecord(j)
		r.Time = now
		fx.Records = append(fx.Records, r)
	}
}
