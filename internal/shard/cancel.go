package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Cancel cancels requests. A queued request is finished at once: as not-run or, between two
// attempts, with the completion of the last one. A running request is stopped, and its outcome
// is returned as unknown, as is that of a request that is held or whose acceptance record is
// not durable. The results may be shown to callers once the records in the effects are durable.
func (t *Table) Cancel(now time.Time, keys []model.RequestKey) ([]model.CancelResult, Effects) {
	var fx Effects
	results := make([]model.CancelResult, 0, len(keys))
	for _, key := range keys {
		results = append(results, t.cancelOne(now, key, &fx))
	}
	return results, fx
}

// cancelOne cancels one request.
func (t *Table) cancelOne(now time.Time, key model.RequestKey, fx *Effects) model.CancelResult {
	j := t.findJob(key)
	if j == nil || j.shard.frozen {
		return model.CancelResult{Key: key}
	}
	result := model.CancelResult{Key: key, Found: true, Outcome: model.OutcomeUnknown}
	if j.phase == phaseDone {
		result.Outcome = j.reply.Outcome
		return result
	}
	if !j.cancelled {
		j.cancelled = true
		fx.event("cancel", j.key, "", "")
	}
	if j.phase == phaseHeld || j.phase == phaseAccepting {
		// Whether it starts depends on records or reports that have not been received.
		t.recordCancel(now, j, fx)
		return result
	}
	if t.stopLive(now, j, fx) {
		t.recordCancel(now, j, fx)
		return result
	}
	t.finishWithLastEnd(now, j, fx)
	result.Outcome = j.reply.Outcome
	return result
}

// stopLive stops the released attempts of a request, withdraws everything that has not
// started, and reports whether there were released attempts. A repeated cancel requests the
// stop again.
func (t *Table) stopLive(now time.Time, j *job, fx *Effects) bool {
	if !j.released() {
		return false
	}
	for i := range j.units {
		u := &j.units[i]
		if len(u.live) > 0 && u.state != unitIntent {
			u.stopping = false
			t.stopUnit(u, fx)
			continue
		}
		t.withdraw(now, u, fx)
		u.state = unitDone
	}
	return true
}

// recordCancel emits a record that preserves the cancellation across a takeover.
func (t *Table) recordCancel(now time.Time, j *job, fx *Effects) {
	if !j.journaled() {
		return
	}
	fx.Records = append(fx.Records, Record{
		Kind: RecordCancel, Shard: j.shard.id, Key: j.key, Time: now, BodyHash: j.bodyHash, Async: j.async,
	})
}
