package shard

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Own starts to own a shard. After a takeover, the event loop next calls Replay
// for every record of the old owner, then Replayed, and RecoveryResult for
// every pool. Own of a frozen shard takes the handover back.
func (t *Table) Own(now time.Time, s model.ShardID, r Recovery) {
	if s >= model.ShardCount {
		return
	}
	if owned := t.shards[s]; owned != nil {
		t.unfreeze(now, owned)
		return
	}
	state := newShardState(s)
	state.takenAt = r.TakenAt
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
	for _, j := range s.sorted() {
		t.activate(now, j)
		t.updateWake(j)
	}
}

// Replayed says that all records of the shard have been replayed.
func (t *Table) Replayed(now time.Time, id model.ShardID) Effects {
	var fx Effects
	s := t.shard(id)
	if s == nil || s.replayed {
		return fx
	}
	s.replayed = true
	for _, w := range s.conflicts {
		fx.answer(w.id, conflictReply())
	}
	for _, w := range s.moved {
		fx.answer(w.id, model.Reply{Reason: model.ReasonMoved})
	}
	s.conflicts, s.moved = nil, nil
	for _, j := range s.sorted() {
		t.answerReplayed(j, &fx)
	}
	t.endRecovery(now, s, &fx)
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

// RecoveryResult takes the report of one pool. The recovery ends when every
// pool has reported. A later report of a pool that could not be reached
// releases the requests that still wait for it.
func (t *Table) RecoveryResult(now time.Time, r RecoveryReport) Effects {
	var fx Effects
	s := t.shard(r.Shard)
	if s == nil {
		return fx
	}
	report := &poolReport{come: true, reachable: r.Reachable, unreachable: map[string]bool{}}
	for _, endpoint := range r.Unreachable {
		report.unreachable[endpoint] = true
	}
	s.reports[r.Pool] = report
	for _, state := range r.Attempts {
		t.reported(now, s, r.Pool, state, &fx)
	}
	if s.recovering {
		t.endRecovery(now, s, &fx)
	} else {
		t.resolveHeld(now, s, &fx)
	}
	return fx
}

// reported takes one attempt of a report.
func (t *Table) reported(now time.Time, s *shardState, pool model.PoolID, state model.AttemptState, fx *Effects) {
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
		t.addFound(now, s, hash, foundAttempt{pool: pool, state: state, at: now})
		return
	}
	if state.Settled != nil {
		fx.Acks = append(fx.Acks, state.Attempt)
		t.lateEnd(now, j, *state.Settled, fx)
		return
	}
	if state.Running && (j.phase != phaseDone || j.cancelled) {
		// The request was started here because its identifier was taken for a
		// new one, or it was cancelled before this attempt was known.
		fx.event("duplicate-attempt", j.key, state.Attempt, string(pool))
		fx.Cancels = append(fx.Cancels, CancelAttempt{Attempt: state.Attempt, Pool: pool, Endpoint: state.Endpoint})
	}
}

// addFound keeps an attempt until its request comes. A known end is never
// replaced by an older report of the running attempt.
func (t *Table) addFound(now time.Time, s *shardState, hash uint64, f foundAttempt) {
	for i := range s.found[hash] {
		known := &s.found[hash][i]
		if known.state.Attempt != f.state.Attempt {
			continue
		}
		if known.state.Settled == nil && f.state.Settled != nil {
			s.endFound(hash, *f.state.Settled)
		}
		return
	}
	s.found[hash] = append(s.found[hash], f)
	if f.state.Settled == nil {
		s.running++
	}
	t.foundAges = append(t.foundAges, foundAge{at: now, shard: s.id, hash: hash})
}

// endFound notes the end of a found attempt and reports whether it is one.
func (s *shardState) endFound(hash uint64, end model.Settled) bool {
	for i := range s.found[hash] {
		f := &s.found[hash][i]
		if f.state.Attempt != end.Attempt {
			continue
		}
		if f.state.Settled == nil {
			f.state.Settled, f.state.Running = &end, false
			s.running--
		}
		return true
	}
	return false
}

// takeFound removes and returns the found attempts of a request and
// acknowledges those that ended.
func (s *shardState) takeFound(hash uint64, fx *Effects) []foundAttempt {
	found := s.found[hash]
	delete(s.found, hash)
	for _, f := range found {
		if f.state.Settled == nil {
			s.running--
		} else {
			fx.Acks = append(fx.Acks, f.state.Attempt)
		}
	}
	return found
}

// forgetEnded drops the ended attempts of a request found before the time, and
// reports whether running ones remain.
func (s *shardState) forgetEnded(hash uint64, before time.Time, fx *Effects) bool {
	kept := slices.DeleteFunc(s.found[hash], func(f foundAttempt) bool {
		forget := f.state.Settled != nil && !f.at.After(before)
		if forget {
			fx.Acks = append(fx.Acks, f.state.Attempt)
		}
		return forget
	})
	if len(kept) == 0 {
		delete(s.found, hash)
		return false
	}
	s.found[hash] = kept
	return slices.ContainsFunc(kept, func(f foundAttempt) bool { return f.state.Settled == nil })
}

// Recovering returns the pools whose reports are missing or that could not be
// reached, and whether the shard is still in recovery.
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

// endRecovery settles the held requests when all records and reports have come.
func (t *Table) endRecovery(now time.Time, s *shardState, fx *Effects) {
	if !s.recovering || !s.replayed {
		return
	}
	for _, report := range s.reports {
		if !report.come {
			return
		}
	}
	s.recovering = false
	t.resolveHeld(now, s, fx)
}

// resolveOne settles a held request after the recovery if what is known of it is enough.
func (t *Table) resolveOne(now time.Time, j *job, fx *Effects) {
	if j != nil && j.phase == phaseHeld && !j.shard.recovering {
		t.resolve(now, j, fx)
	}
}

// resolveUnblocked settles held requests after the last found attempt without a request has ended.
func (t *Table) resolveUnblocked(now time.Time, s *shardState, fx *Effects) {
	if !s.recovering && s.running == 0 {
		t.resolveHeld(now, s, fx)
	}
}

// resolveHeld settles the held requests, those with known attempts first: while
// an attempt of an unknown request runs, no request with an ordering key may start.
func (t *Table) resolveHeld(now time.Time, s *shardState, fx *Effects) {
	if s.held == 0 {
		return
	}
	var rest []*job
	for _, j := range s.sorted() {
		switch {
		case j.phase != phaseHeld:
		case len(j.intent) > 0 || len(s.found[j.hash]) > 0:
			t.resolve(now, j, fx)
		default:
			rest = append(rest, j)
		}
	}
	for _, j := range rest {
		if j.phase == phaseHeld {
			t.resolve(now, j, fx)
		}
	}
}
