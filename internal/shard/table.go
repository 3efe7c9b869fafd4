package shard

import (
	"math/rand"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Table holds all shards that one process owns.
type Table struct {
	cfg Config
	rnd *rand.Rand
}

// New returns a table without shards. The random source is used for jitter and
// for the nonces of attempt identifiers; it must differ between incarnations.
func New(cfg Config, rnd *rand.Rand) *Table {
	return &Table{cfg: cfg.withDefaults(), rnd: rnd}
}

// SetTemplates replaces the templates. Queued requests follow the new urgency
// and wait limits of their template; their task count and resources stay. Requests of a removed template
// finish with its last parameters; new ones are refused.
func (t *Table) SetTemplates(now time.Time, templates map[model.TemplateID]model.Template) {}

// SetCapacity replaces the pool summaries that feasibility and predicted waits use.
func (t *Table) SetCapacity(now time.Time, pools []model.PoolSummary) {}

// SetJournal tells whether the journal can be written. While it can't, work that needs
// the journal is refused at submission with ReasonStoreDown.
func (t *Table) SetJournal(now time.Time, writable bool) {}

// Own starts to own a shard. After a takeover, the event loop next calls Replay
// for every record of the old owner, then Replayed, and RecoveryResult for every pool.
func (t *Table) Own(now time.Time, s model.ShardID, r Recovery) {}

// Owns reports whether the table owns the shard and the shard is not frozen.
func (t *Table) Owns(s model.ShardID) bool { return false }

// Replay applies a record from a journal. Records of shards that are not owned are ignored.
func (t *Table) Replay(now time.Time, r Record) {}

// Replayed says that all records of the shard have been replayed.
func (t *Table) Replayed(now time.Time, s model.ShardID) Effects { return Effects{} }

// RecoveryResult takes the report of one pool. The recovery ends when every pool has reported.
func (t *Table) RecoveryResult(now time.Time, r RecoveryReport) Effects { return Effects{} }

// Recovering reports the pools whose reports are missing, or that could not be
// reached, and whether the shard is still in recovery.
func (t *Table) Recovering(s model.ShardID) ([]model.PoolID, bool) { return nil, false }

// Submit takes a request. The waiter is answered now or by the effects of a later call.
func (t *Table) Submit(now time.Time, s model.Submission, w WaiterID) Effects { return Effects{} }

// Forget removes a waiter that no longer wants its reply. The request stays.
func (t *Table) Forget(key model.RequestKey, w WaiterID) {}

// Demand returns the ready work of all owned shards by template and size class,
// most urgent first, then the workspace furthest below its share, then by age.
func (t *Table) Demand(now time.Time) []model.Demand { return nil }

// Bind gives a grant to the best ready request. With false, the grant is to be
// returned. The starts are in the effects, or come by IntentDurable.
func (t *Table) Bind(now time.Time, g model.Grant) (Effects, bool) { return Effects{}, false }

// IntentDurable releases the starts of an intent, unless it was withdrawn.
func (t *Table) IntentDurable(now time.Time, a model.AttemptID) Effects { return Effects{} }

// IntentFailed withdraws an intent whose record could not be written.
func (t *Table) IntentFailed(now time.Time, a model.AttemptID) Effects { return Effects{} }

// AcceptanceDurable tells the waiters that the request is accepted and queues it.
func (t *Table) AcceptanceDurable(now time.Time, key model.RequestKey) Effects { return Effects{} }

// AcceptanceFailed answers not-run. It must be called only when the record is
// certainly not in the journal and can't get there any more.
func (t *Table) AcceptanceFailed(now time.Time, key model.RequestKey) Effects { return Effects{} }

// Settle takes the end of an attempt. Repeated, late and unknown ends are allowed.
func (t *Table) Settle(now time.Time, s model.Settled) Effects { return Effects{} }

// Cancel cancels requests. Queued ones are not-run at once; running ones are
// stopped and their result here is unknown until Settle.
func (t *Table) Cancel(now time.Time, keys []model.RequestKey) ([]model.CancelResult, Effects) {
	return nil, Effects{}
}

// Status returns the state of a request, or false for an unknown one.
func (t *Table) Status(key model.RequestKey) (model.JobStatus, bool) {
	return model.JobStatus{}, false
}

// Jobs returns the requests that the filter selects, ordered by submission.
func (t *Table) Jobs(f Filter) []model.JobStatus { return nil }

// Next returns the time at which Tick has something to do, or false.
func (t *Table) Next() (time.Time, bool) { return time.Time{}, false }

// Tick handles passed waits, backoffs, held grants and retention up to now.
func (t *Table) Tick(now time.Time) Effects { return Effects{} }

// Freeze stops all work of a shard before its handover: synchronous waiters are
// sent away with ReasonMoved, nothing is bound, and ends of attempts are still taken.
func (t *Table) Freeze(now time.Time, s model.ShardID) Effects { return Effects{} }

// Export returns the state of a frozen shard.
func (t *Table) Export(s model.ShardID) Snapshot { return Snapshot{} }

// Import starts to own a shard from the export of its old owner. The records in the effects
// must be durable before the old owner drops the shard.
func (t *Table) Import(now time.Time, s Snapshot) Effects { return Effects{} }

// Drop forgets a shard. The effects hold a release record, so that a successor
// of this process does not revive the shard.
func (t *Table) Drop(now time.Time, s model.ShardID) Effects { return Effects{} }

// Snapshot returns records that replace all earlier ones of the owned shards.
func (t *Table) Snapshot(now time.Time) []Record { return nil }
