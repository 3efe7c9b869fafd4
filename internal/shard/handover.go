package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Freeze stops all work of a shard before its handover: waiters are answered with ReasonMoved
// and no grants are bound, but completions of attempts are still applied. Requests that are
// neither accepted, started nor replayed are dropped, because their callers submit them again.
// If such a request is cancelled and may have run or may still be accepted, it finishes as
// unknown. Replayed must have been called for the shard.
func (t *Table) Freeze(now time.Time, id model.ShardID) Effects {
	var fx Effects
	s := t.shard(id)
	if s == nil || s.frozen {
		return fx
	}
	s.frozen = true
	for _, j := range s.jobsByArrival() {
		t.freezeJob(now, j, &fx)
	}
	return fx
}

// freezeJob stops the work of one request.
func (t *Table) freezeJob(now time.Time, j *job, fx *Effects) {
	if j.cancelled && !j.replayed && (j.phase == phaseAccepting || j.phase == phaseHeld) {
		t.finishCancelledAsUnknown(now, j, fx)
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
	if j.accepted || j.replayed || j.released() || j.lastEnd != nil {
		t.updateWake(j)
		return
	}
	t.remove(now, j, fx)
}

// Export returns the state of a frozen shard. Completions of attempts that arrive later must
// be forwarded to the new owner.
func (t *Table) Export(now time.Time, id model.ShardID) Snapshot {
	snapshot := Snapshot{Shard: id}
	s := t.shard(id)
	if s == nil || !s.frozen {
		return snapshot
	}
	snapshot.Recovery = s.remainingRecovery()
	for _, j := range s.jobsByArrival() {
		snapshot.Records = append(snapshot.Records, t.jobRecords(now, j)...)
		switch {
		case j.phase == phaseDone && !j.journaled():
			snapshot.Answers = append(snapshot.Answers, outcomeRecord(j))
		case j.phase == phaseQueued && (j.released() || j.lastEnd != nil),
			j.phase == phaseHeld && j.replayed && !j.journaled():
			snapshot.Live = append(snapshot.Live, exportLiveJob(j))
		}
	}
	snapshot.Orphans = s.orphans()
	return snapshot
}

// remainingRecovery returns the recovery that the next owner has to finish. The takeover time
// is kept, because the outcome of requests with older identifiers stays uncertain.
func (s *shardState) remainingRecovery() Recovery {
	r := Recovery{TakenAt: s.takeoverTime, Incomplete: s.incomplete}
	for pool, report := range s.reports {
		// An unfinished recovery needs every report, because intents are resolved from the reports.
		if s.recovering || !report.complete() {
			r.Pools = append(r.Pools, pool)
		}
	}
	sortPools(r.Pools)
	return r
}

// orphans returns the unmatched attempts in a reproducible order.
func (s *shardState) orphans() []OrphanAttempt {
	var orphans []OrphanAttempt
	for _, unmatched := range s.unmatched {
		for _, f := range unmatched {
			orphans = append(orphans, OrphanAttempt{Pool: f.pool, State: f.state, Found: f.reportedAt})
		}
	}
	sortOrphans(orphans)
	return orphans
}

// exportLiveJob returns the state of a request that has started, or may have under an earlier
// owner.
func exportLiveJob(j *job) LiveJob {
	l := LiveJob{
		Key:       j.key,
		BodyHash:  j.bodyHash,
		Async:     j.async,
		Work:      *acceptanceOf(j),
		HasBody:   j.hasBody,
		Submitted: j.submitted,
		Arrived:   j.arrived,
		Started:   j.startedAt,
		Attempts:  j.attempts,
		Cancelled: j.cancelled,
		Last:      j.lastEnd,
	}
	for i := range j.units {
		u := &j.units[i]
		l.Running = append(l.Running, intentAttempts(u)...)
		l.Units = append(l.Units, UnitState{Round: u.round, Retries: u.retries, Refused: u.unstarted, Failed: u.failedEndpoints, Ends: u.ends})
	}
	return l
}

// Import takes ownership of a shard from the export of its old owner. The records in the
// effects must be durable before the old owner drops the shard. If the export contains an
// unfinished recovery, RecoveryResult must follow for the pools that Recovering returns.
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
		if snapshot.Live[i].Work.Tasks <= maxTasks {
			t.importLive(now, s, &snapshot.Live[i])
		}
	}
	for _, o := range snapshot.Orphans {
		if hash, ok := o.State.Attempt.RequestHash(); ok {
			t.addUnmatched(now, s, hash, unmatchedAttempt{pool: o.Pool, state: o.State, reportedAt: o.Found})
		}
	}
	fx.Records = append(fx.Records, snapshot.Records...)
	s.replayed = true
	if s.recovering {
		t.finishRecoveryIfComplete(now, s, &fx)
	} else {
		t.resolveAllHeld(now, s, &fx)
	}
	return fx
}

// importLive restores a request that has started, or may have under an earlier owner. Its
// attempts are adopted like those reported during a recovery.
func (t *Table) importLive(now time.Time, s *shardState, l *LiveJob) {
	j := s.jobs[l.Key.Hash()]
	if j == nil {
		j = t.newReplayedJob(s, Record{Key: l.Key, Time: l.Submitted, BodyHash: l.BodyHash, Async: l.Async})
	}
	t.describe(j, &l.Work)
	j.hasBody = l.HasBody
	j.startedAt, j.cancelled, j.lastEnd = l.Started, l.Cancelled, l.Last
	j.started = true
	j.attempts = l.Attempts - len(l.Running)
	j.setStartDeadline(now)
	t.moveInOrderingQueue(now, j, l.Arrived)
	for i := range min(len(j.units), len(l.Units)) {
		u, state := &j.units[i], l.Units[i]
		u.round, u.retries, u.unstarted, u.failedEndpoints, u.ends = state.Round, state.Retries, state.Refused, state.Failed, state.Ends
	}
	for _, a := range l.Running {
		state := model.AttemptState{Attempt: a.Attempt, Endpoint: a.Endpoint, Running: true}
		t.addUnmatched(now, s, j.hash, unmatchedAttempt{pool: a.Pool, state: state, reportedAt: now})
	}
}

// Drop deletes a shard. The effects contain a release record, so that a successor of this
// process does not restore the shard.
func (t *Table) Drop(now time.Time, id model.ShardID) Effects {
	fx := t.Freeze(now, id)
	s := t.shard(id)
	if s == nil {
		return fx
	}
	for _, w := range append(s.conflictWaiters, s.movedWaiters...) {
		fx.answer(w.id, model.Reply{Reason: model.ReasonMoved})
	}
	for _, j := range s.jobsByArrival() {
		t.dropJob(j)
	}
	t.shards[id] = nil
	fx.Records = append(fx.Records, Record{Kind: RecordRelease, Shard: id, Time: now})
	return fx
}

// dropJob removes a frozen request from the state that is shared between shards.
func (t *Table) dropJob(j *job) {
	for i := range j.units {
		for _, a := range j.units[i].live {
			delete(t.attempts, a.id)
		}
	}
	t.removeFromQueueUsage(j)
	t.jobTimers.remove(j)
}
