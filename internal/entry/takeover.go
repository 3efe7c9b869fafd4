package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// claimRetryInterval is the time between two tries of the steps of a takeover.
const claimRetryInterval = 200 * time.Millisecond

// takeover tracks which shards this process holds, acquires those that the view
// assigns to it, and hands over those that the view assigns to others.
//
// A process that acquires a shard claims its state from every other process and
// reads the journals of dead ones. Each holder reports its epoch, the number of
// the view in which it took over the shard. The state with the highest epoch is
// valid. A holder keeps its frozen state until the new owner has recorded it.
type takeover struct {
	l                 *loop
	held              map[model.ShardID]uint64 // epoch of each shard whose state is held here
	frozen            map[model.ShardID]bool   // held, but assigned to another process by the view
	activeAcquisition *acquisition             // nil if no acquisition is in progress
	adopted           map[string]bool          // dead predecessors whose journals this process no longer needs
	adoptedByPeer     map[string][]string      // adopted predecessors reported by each member
	removing          map[string]bool          // dead predecessors whose removal is in flight
	recovering        map[model.ShardID]bool   // held, but reports of pool owners are missing
	unwritten         int                      // entries of state taken over that are not written yet
}

func newTakeover(l *loop) *takeover {
	return &takeover{
		l:             l,
		held:          make(map[model.ShardID]uint64),
		frozen:        make(map[model.ShardID]bool),
		adopted:       make(map[string]bool),
		adoptedByPeer: make(map[string][]string),
		removing:      make(map[string]bool),
		recovering:    make(map[model.ShardID]bool),
	}
}

// install applies a new view.
func (t *takeover) install(v model.View) {
	// The members report again which predecessors they have adopted under this view.
	clear(t.adoptedByPeer)
	now := t.l.now()
	var unheld []model.ShardID
	for s := range model.ShardID(model.ShardCount) {
		owned := v.ShardOwner(s) == t.l.n.self.Incarnation
		_, held := t.held[s]
		switch {
		case owned && (!held || t.frozen[s]):
			// A frozen shard may have been taken over since by a process that could not
			// tell this one to release it.
			unheld = append(unheld, s)
		case !owned && held && !t.frozen[s]:
			t.freeze(now, s)
		}
	}
	t.abort()
	if len(unheld) > 0 {
		clear(t.adopted) // their journals are needed again
		t.activeAcquisition = newAcquisition(t, v, unheld)
		t.activeAcquisition.start()
		return
	}
	t.markAdoptedWhenDurable(v)
}

// abort stops an acquisition for an older view. The holders keep their state.
func (t *takeover) abort() {
	if t.activeAcquisition != nil {
		t.activeAcquisition.stop()
		t.activeAcquisition = nil
	}
}

func (t *takeover) freeze(now time.Time, s model.ShardID) {
	t.frozen[s] = true
	t.l.applyShard(t.l.table.Freeze(now, s))
}

// removeFrozen removes and returns the state of a frozen shard that a later view assigns
// to this process again. The journal keeps it until the next ownership is complete.
func (t *takeover) removeFrozen(now time.Time, s model.ShardID) candidateState {
	snapshot := t.l.table.Export(now, s)
	own := candidateState{epoch: t.held[s], snapshot: &snapshot}
	fx := t.l.table.Drop(now, s)
	fx.Records = nil // no release: the next ownership replaces the state
	t.l.applyShard(fx)
	delete(t.frozen, s)
	delete(t.held, s)
	delete(t.recovering, s)
	return own
}

// takeOwnership starts the ownership of a shard, whose state load restores in the table.
// It first appends the records of that state to the journal, since their previous writer
// removes them afterwards.
func (t *takeover) takeOwnership(own ownership, records []shard.Record, load func() shard.Effects) {
	s := own.Shard
	t.held[s] = own.Epoch
	own.Loading = len(records) > 0
	t.l.appendState(journalEntry{Own: &own})
	for _, r := range records {
		t.l.appendState(journalEntry{Record: &r})
	}
	if len(records) > 0 {
		t.l.appendState(journalEntry{Loaded: &s})
	}
	t.l.applyShard(load())
}

// acceptsCompletion reports whether this process has to settle the attempt.
func (t *takeover) acceptsCompletion(a model.AttemptID) bool {
	s, ok := a.Shard()
	if !ok {
		return false
	}
	_, held := t.held[s]
	return held && !t.frozen[s]
}

// acceptsCompletions reports whether this process has to settle all the attempts.
func (t *takeover) acceptsCompletions(settled []model.Settled) bool {
	for _, s := range settled {
		if !t.acceptsCompletion(s.Attempt) {
			return false
		}
	}
	return true
}

// serves reports whether requests of the shard are served here.
func (t *takeover) serves(s model.ShardID) bool {
	_, held := t.held[s]
	return held && !t.frozen[s]
}

// inProgress reports whether shards are being acquired, handed over or recovered.
func (t *takeover) inProgress() bool {
	return t.activeAcquisition != nil || len(t.frozen) > 0 || len(t.recovering) > 0
}

// empty reports whether this process holds no shard state.
func (t *takeover) empty() bool { return len(t.held) == 0 }

// ownerships lists the held shards.
func (t *takeover) ownerships() []ownership {
	out := make([]ownership, 0, len(t.held))
	for s, epoch := range t.held {
		out = append(out, ownership{Shard: s, Epoch: epoch, Incomplete: t.l.table.Incomplete(t.l.now(), s)})
	}
	slices.SortFunc(out, func(a, b ownership) int { return int(a.Shard) - int(b.Shard) })
	return out
}

// export freezes the claimed shards that are held here and returns their state.
func (t *takeover) export(shards []model.ShardID) []shardExport {
	now := t.l.now()
	var out []shardExport
	for _, s := range shards {
		epoch, held := t.held[s]
		if !held {
			continue
		}
		if !t.frozen[s] {
			t.freeze(now, s)
		}
		out = append(out, shardExport{Shard: s, Epoch: epoch, Snapshot: t.l.table.Export(now, s)})
	}
	return out
}

// release drops frozen shards whose state the new owner has recorded. An epoch that is not
// higher than the own one is from an earlier takeover; older processes send 0.
func (t *takeover) release(shards []model.ShardID, epoch uint64) {
	now := t.l.now()
	for _, s := range shards {
		if !t.frozen[s] || epoch != 0 && epoch <= t.held[s] {
			continue
		}
		delete(t.frozen, s)
		delete(t.held, s)
		delete(t.recovering, s)
		t.l.applyShard(t.l.table.Drop(now, s))
	}
}

// tick retries incomplete steps of the takeover.
func (t *takeover) tick(now time.Time) {
	if t.activeAcquisition != nil {
		t.activeAcquisition.tick(now)
	}
	for s := range t.recovering {
		if _, incomplete := t.l.table.Recovering(s); !incomplete {
			delete(t.recovering, s)
		}
	}
	t.removeAdopted()
}

// markAdoptedWhenDurable calls markAdopted once the state taken over is in the journal of
// this process: the predecessors' journals are removed after that.
func (t *takeover) markAdoptedWhenDurable(v model.View) {
	t.l.acks.whenDurable(func() {
		if t.l.view.Number == v.Number && t.activeAcquisition == nil {
			t.markAdopted(v)
		}
	})
}

// markAdopted records that this process no longer needs the journals of the
// predecessors in the view.
func (t *takeover) markAdopted(v model.View) {
	for _, p := range v.Predecessors {
		t.adopted[p] = true
	}
	for p := range t.adopted {
		if !slices.Contains(v.Predecessors, p) {
			delete(t.adopted, p)
		}
	}
}

// adoptedList returns the adopted predecessors in order.
func (t *takeover) adoptedList() []string {
	return slices.Sorted(maps.Keys(t.adopted))
}

// setPeerAdopted records the adopted predecessors that a member reports.
func (t *takeover) setPeerAdopted(from string, adopted []string) {
	t.adoptedByPeer[from] = adopted
}

// removeAdopted removes the predecessors that every member has adopted. Only the
// first member of the view does this, so that the store has a single writer.
func (t *takeover) removeAdopted() {
	v := t.l.view
	if len(v.Predecessors) == 0 || len(v.Members) == 0 || v.Members[0].Incarnation != t.l.n.self.Incarnation {
		return
	}
	for _, p := range v.Predecessors {
		if t.removing[p] || !t.adoptedByAll(v, p) {
			continue
		}
		t.removing[p] = true
		t.l.n.start("remove journal", func() { t.l.n.dropPredecessor(p) })
	}
}

func (t *takeover) adoptedByAll(v model.View, predecessor string) bool {
	for _, m := range v.Members {
		if m.Incarnation == t.l.n.self.Incarnation {
			if !t.adopted[predecessor] {
				return false
			}
			continue
		}
		if !slices.Contains(t.adoptedByPeer[m.Incarnation], predecessor) {
			return false
		}
	}
	return true
}

// shardExport is the state of one shard at the process that holds it.
type shardExport struct {
	Shard    model.ShardID
	Epoch    uint64
	Snapshot shard.Snapshot
}
