package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Freeze stops all work of a shard before its handover: waiters are sent away with
// ReasonMoved, nothing is bound, and ends of attempts are still taken.
// Synchronous requests that never started are forgotten, because their callers
// submit them again. Replayed must have been called for the shard.
func (t *Table) Freeze(now time.Time, id model.ShardID) Effects {
	var fx Effects
	s := t.shard(id)
	if s == nil || s.frozen {
		return fx
	}
	s.frozen = true
	for _, j := range s.sorted() {
		t.freezeJob(now, j, &fx)
	}
	return fx
}

// freezeJob stops the work of one request.
func (t *Table) freezeJob(now time.Time, j *job, fx *Effects) {
	if j.cancelled && !j.replayed && (j.phase == phaseAccepting || j.phase == phaseHeld) {
		t.giveUpCancelled(now, j, fx)
		return
	}
	for _, w := range j.waiters {
		fx.answer(w.id, model.Reply{Reason: model.ReasonMoved})
	}
	j.waiters = nil
	if j.phase == phaseDone {
		return
	}
	for i := range j.units {
		u := &j.units[i]
		if u.state == unitReady || u.state == unitBackoff || u.state == unitIntent {
			t.withdraw(now, u, fx)
			u.state = unitIdle
		}
	}
	if j.accepted || j.replayed || j.released() || j.last != nil {
		t.updateWake(j)
		return
	}
	t.remove(now, j, fx)
}

// Export returns the state of a frozen shard. Ends of attempts that come later
// are to be forwarded to the new owner.
func (t *Table) Export(now time.Time, id model.ShardID) Snapshot {
	snapshot := Snapshot{Shard: id}
	s := t.shard(id)
	if s == nil || !s.frozen {
		return snapshot
	}
	snapshot.Recovery = s.remaining()
	for _, j := range s.sorted() {
		snapshot.Records = append(snapshot.Records, t.recordsOf(now, j)...)
		switch {
		case j.phase == phaseDone && !j.journaled():
			snapshot.Answers = append(snapshot.Answers, outcomeRecord(j))
		case j.phase == phaseQueued && (j.released() || j.last != nil),
			j.phase == phaseHeld && j.replayed && !j.journaled():
			snapshot.Live = append(snapshot.Live, liveJob(j))
		}
	}
	snapshot.Orphans = s.orphans()
	return snapshot
}

// remaining returns the recovery that the next owner has to finish. The time of
// the takeover is kept, because what identifiers from before it came to stays uncertain.
func (s *shardState) remaining() Recovery {
	r := Recovery{TakenAt: s.takenAt}
	for pool, report := range s.reports {
		// An unfinished recovery needs every report: the intents are resolved by them.
		if s.recovering || !report.complete() {
			r.Pools = append(r.Pools, pool)
		}
	}
	sortPools(r.Pools)
	return r
}

// orphans returns the found attempts in a reproducible order.
func (s *shardState) orphans() []OrphanAttempt {
	var orphans []OrphanAttempt
	for _, found := range s.found {
		for _, f := range found {
			orphans = append(orphans, OrphanAttempt{Pool: f.pool, State: f.state, Found: f.at})
		}
	}
	sortOrphans(orphans)
	return orphans
}

// liveJob returns the state of a request that has started.
func liveJob(j *job) LiveJob {
	l := LiveJob{
		Key:       j.key,
		BodyHash:  j.bodyHash,
		Async:     j.async,
		Work:      *workOf(j),
		HasBody:   j.hasBody,
		Submitted: j.submitted,
		Arrived:   j.arrived,
		Started:   j.startedAt,
		Attempts:  j.attempts,
		Cancelled: j.cancelled,
		Last:      j.last,
	}
	for i := range j.units {
		u := &j.units[i]
		l.Running = append(l.Running, liveAttempts(u)...)
		l.Units = append(l.Units, UnitState{Round: u.round, Retries: u.retries, Refused: u.refused, Failed: u.failed, Ends: u.ends})
	}
	return l
}

// Import starts to own a shard from the export of its old owner. The records in
// the effects must be durable before the old owner drops the shard. When the
// export left a recovery to finish, RecoveryResult must follow for the pools
// that Recovering names.
func (t *Table) Import(now time.Time, snapshot Snapshot) Effects {
	var fx Effects
	if t.shard(snapshot.Shard) != nil || snapshot.Shard >= model.ShardCount {
		return fx
	}
	t.Own(now, snapshot.Shard, snapshot.Recovery)
	s := t.shards[snapshot.Shard]
	s.replayed = false
	for _, records := range [][]Record{snapshot.Records, snapshot.Answers} {
		for _, r := range records {
			t.Replay(now, r)
		}
	}
	for i := range snapshot.Answers {
		if j := s.jobs[snapshot.Answers[i].Key.Hash()]; j != nil {
			j.idempotent = true
		}
	}
	for i := range snapshot.Live {
		t.importLive(now, s, &snapshot.Live[i])
	}
	for _, o := range snapshot.Orphans {
		if hash, ok := o.State.Attempt.RequestHash(); ok {
			t.addFound(now, s, hash, foundAttempt{pool: o.Pool, state: o.State, at: o.Found})
		}
	}
	fx.Records = append(fx.Records, snapshot.Records...)
	s.replayed = true
	if s.recovering {
		t.endRecovery(now, s, &fx)
	} else {
		t.resolveHeld(now, s, &fx)
	}
	return fx
}

// importLive restores a request that has started. Its attempts are joined like those found by a recovery.
func (t *Table) importLive(now time.Time, s *shardState, l *LiveJob) {
	j := s.jobs[l.Key.Hash()]
	if j == nil {
		j = t.newReplayedJob(s, Record{Key: l.Key, Time: l.Submitted, BodyHash: l.BodyHash, Async: l.Async})
	}
	t.describe(j, &l.Work)
	j.hasBody = l.HasBody
	j.startedAt, j.cancelled, j.last = l.Started, l.Cancelled, l.Last
	j.started = true
	j.attempts = l.Attempts - len(l.Running)
	j.limitWait(now)
	t.moveInLine(now, j, l.Arrived)
	for i := range min(len(j.units), len(l.Units)) {
		u, state := &j.units[i], l.Units[i]
		u.round, u.retries, u.refused, u.failed, u.ends = state.Round, state.Retries, state.Refused, state.Failed, state.Ends
	}
	for _, a := range l.Running {
		state := model.AttemptState{Attempt: a.Attempt, Endpoint: a.Endpoint, Running: true}
		t.addFound(now, s, j.hash, foundAttempt{pool: a.Pool, state: state, at: now})
	}
}

// Drop forgets a shard. The effects hold a release record, so that a successor
// of this process does not revive the shard.
func (t *Table) Drop(now time.Time, id model.ShardID) Effects {
	fx := t.Freeze(now, id)
	s := t.shard(id)
	if s == nil {
		return fx
	}
	for _, w := range append(s.conflicts, s.moved...) {
		fx.answer(w.id, model.Reply{Reason: model.ReasonMoved})
	}
	for _, j := range s.sorted() {
		t.dropJob(j)
	}
	t.shards[id] = nil
	fx.Records = append(fx.Records, Record{Kind: RecordRelease, Shard: id, Time: now})
	return fx
}

// dropJob takes a frozen request out of what spans the shards.
func (t *Table) dropJob(j *job) {
	for i := range j.units {
		for _, a := range j.units[i].live {
			delete(t.attempts, a.id)
		}
	}
	t.uncount(j)
	t.jobTimers.remove(j)
}
