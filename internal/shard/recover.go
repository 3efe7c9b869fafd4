package shard

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Own takes ownership of a shard. After a takeover, the event loop next calls Replay for every
// record of the old owner, then Replayed, and RecoveryResult for every pool. Own of a frozen
// shard aborts its handover.
func (t *Table) Own(now time.Time, s model.ShardID, r Recovery) {
	if s >= model.ShardCount {
		return
	}
	if owned := t.shards[s]; owned != nil {
		t.unfreeze(now, owned)
		return
	}
	state := newShardState(s)
	state.takeoverTime, state.incomplete = r.TakenAt, r.Incomplete
	state.recovering = !r.TakenAt.IsZero()
	state.replayed = !state.recovering
	for _, pool := range r.Pools {
		state.reports[pool] = &poolReport{}
	}
	t.shards[s] = state
}

// unfreeze resumes the work of a frozen shard.
func (t *Table) unfreeze(now time.Time, s *shardState) {
	if !s.frozen {
		return
	}
	s.frozen = false
	for _, j := range s.jobsByArrival() {
		t.activate(now, j)
		t.updateWake(j)
	}
}

// Replayed must be called when all records of the shard have been replayed.
func (t *Table) Replayed(now time.Time, id model.ShardID) Effects {
	var fx Effects
	s := t.shard(id)
	if s == nil || s.replayed {
		return fx
	}
	s.replayed = true
	for _, w := range s.conflictWaiters {
		fx.answer(w.id, conflictReply())
	}
	for _, w := range s.movedWaiters {
		fx.answer(w.id, model.Reply{Reason: model.ReasonMoved})
	}
	s.conflictWaiters, s.movedWaiters = nil, nil
	for _, j := range s.jobsByArrival() {
		t.answerReplayed(j, &fx)
	}
	t.finishRecoveryIfComplete(now, s, &fx)
	return fx
}

// answerReplayed answers the waiters that joined a request before its records were replayed.
func (t *Table) answerReplayed(j *job, fx *Effects) {
	if j.phase == phaseDone {
		j.answerAll(j.reply, fx)
		return
	}
	if j.accepted {
		t.answerAccepted(j, fx)
	}
}

// RecoveryResult applies the report of one pool. The recovery ends when every pool has
// reported and Replayed was called. A later report of a pool that could not be reached releases
// the requests that still wait for it.
func (t *Table) RecoveryResult(now time.Time, r RecoveryReport) Effects {
	var fx Effects
	s := t.shard(r.Shard)
	if s == nil {
		return fx
	}
	report := &poolReport{received: true, reachable: r.Reachable, unreachable: map[string]bool{}}
	for _, endpoint := range r.Unreachable {
		report.unreachable[endpoint] = true
	}
	s.reports[r.Pool] = report
	for _, state := range r.Attempts {
		t.handleReportedAttempt(now, s, r.Pool, state, &fx)
	}
	if s.recovering {
		t.finishRecoveryIfComplete(now, s, &fx)
	} else {
		t.resolveAllHeld(now, s, &fx)
	}
	return fx
}

// handleReportedAttempt applies one attempt of a report.
func (t *Table) handleReportedAttempt(now time.Time, s *shardState, pool model.PoolID, state model.AttemptState, fx *Effects) {
	hash, valid := state.Attempt.RequestHash()
	id, ok := state.Attempt.Shard()
	if !valid || !ok || id != s.id {
		return
	}
	if t.attempts[state.Attempt] != nil {
		if state.Settled != nil {
			fx.Add(t.Settle(now, *state.Settled))
		}
		return
	}
	j := s.jobs[hash]
	if j == nil || j.phase == phaseHeld {
		t.addUnmatched(now, s, hash, unmatchedAttempt{pool: pool, state: state, reportedAt: now})
		return
	}
	if state.Settled != nil {
		fx.Acks = append(fx.Acks, state.Attempt)
		t.lateEnd(now, j, *state.Settled, fx)
		return
	}
	if state.Running && (j.phase != phaseDone || j.cancelled) {
		// The request was started here because its identifier was considered
		// new, or it was cancelled before this attempt was known.
		fx.event("duplicate-attempt", j.key, state.Attempt, string(pool))
		fx.Cancels = append(fx.Cancels, CancelAttempt{Attempt: state.Attempt, Pool: pool, Endpoint: state.Endpoint})
	}
}

// addUnmatched stores an attempt until its request is submitted or resolved. An older report
// of the running attempt never replaces a known completion.
func (t *Table) addUnmatched(now time.Time, s *shardState, hash uint64, f unmatchedAttempt) {
	for i := range s.unmatched[hash] {
		known := &s.unmatched[hash][i]
		if known.state.Attempt != f.state.Attempt {
			continue
		}
		if known.state.Settled == nil && f.state.Settled != nil {
			s.recordUnmatchedEnd(hash, *f.state.Settled)
		}
		return
	}
	s.unmatched[hash] = append(s.unmatched[hash], f)
	if f.state.Settled == nil {
		s.unmatchedRunning++
	}
	t.unmatchedAges = append(t.unmatchedAges, unmatchedAge{at: now, shard: s.id, hash: hash})
}

// recordUnmatchedEnd stores the completion of an unmatched attempt and reports whether the
// attempt is unmatched.
func (s *shardState) recordUnmatchedEnd(hash uint64, end model.Settled) bool {
	for i := range s.unmatched[hash] {
		f := &s.unmatched[hash][i]
		if f.state.Attempt != end.Attempt {
			continue
		}
		if f.state.Settled == nil {
			f.state.Settled, f.state.Running = &end, false
			s.unmatchedRunning--
		}
		return true
	}
	return false
}

// takeUnmatched removes and returns the unmatched attempts of a request and acknowledges those
// that have ended.
func (s *shardState) takeUnmatched(hash uint64, fx *Effects) []unmatchedAttempt {
	unmatched := s.unmatched[hash]
	delete(s.unmatched, hash)
	for _, f := range unmatched {
		if f.state.Settled == nil {
			s.unmatchedRunning--
		} else {
			fx.Acks = append(fx.Acks, f.state.Attempt)
		}
	}
	return unmatched
}

// dropEndedUnmatched drops the ended unmatched attempts of a request that were reported at or
// before the given time, and reports whether running ones remain.
func (s *shardState) dropEndedUnmatched(hash uint64, before time.Time, fx *Effects) bool {
	kept := slices.DeleteFunc(s.unmatched[hash], func(f unmatchedAttempt) bool {
		drop := f.state.Settled != nil && !f.reportedAt.After(before)
		if drop {
			fx.Acks = append(fx.Acks, f.state.Attempt)
		}
		return drop
	})
	if len(kept) == 0 {
		delete(s.unmatched, hash)
		return false
	}
	s.unmatched[hash] = kept
	return slices.ContainsFunc(kept, func(f unmatchedAttempt) bool { return f.state.Settled == nil })
}

// Recovering returns the pools whose reports are missing or incomplete, and whether the shard
// is still in recovery.
func (t *Table) Recovering(id model.ShardID) ([]model.PoolID, bool) {
	s := t.shard(id)
	if s == nil {
		return nil, false
	}
	var missing []model.PoolID
	for pool, report := range s.reports {
		if !report.complete() {
			missing = append(missing, pool)
		}
	}
	slices.Sort(missing)
	return missing, s.recovering
}

// finishRecoveryIfComplete ends the recovery and resolves the held requests if all records and
// reports have been received.
func (t *Table) finishRecoveryIfComplete(now time.Time, s *shardState, fx *Effects) {
	if !s.recovering || !s.replayed {
		return
	}
	for _, report := range s.reports {
		if !report.received {
			return
		}
	}
	s.recovering = false
	t.resolveAllHeld(now, s, fx)
}

// resolveIfHeld resolves a held request after the recovery if enough is known about it.
func (t *Table) resolveIfHeld(now time.Time, j *job, fx *Effects) {
	if j != nil && j.phase == phaseHeld && !j.shard.recovering {
		t.resolveHeldJob(now, j, fx)
	}
}

// resolveIfNoneRunning resolves the held requests after the recovery if no unmatched attempt
// is running.
func (t *Table) resolveIfNoneRunning(now time.Time, s *shardState, fx *Effects) {
	if !s.recovering && s.unmatchedRunning == 0 {
		t.resolveAllHeld(now, s, fx)
	}
}

// resolveAllHeld resolves the held requests, those with known attempts first: while an attempt
// of an unknown request is running, no request with an ordering key may start.
func (t *Table) resolveAllHeld(now time.Time, s *shardState, fx *Effects) {
	if s.heldCount == 0 {
		return
	}
	var rest []*job
	for _, j := range s.jobsByArrival() {
		switch {
		case j.phase != phaseHeld:
		case len(j.replayedIntent) > 0 || len(s.unmatched[j.hash]) > 0:
			t.resolveHeldJob(now, j, fx)
		default:
			rest = append(rest, j)
		}
	}
	for _, j := range rest {
		if j.phase == phaseHeld {
			t.resolveHeldJob(now, j, fx)
		}
	}
}
