package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// claimRetryInterval is the time between two tries to complete a takeover.
const claimRetryInterval = 200 * time.Millisecond

// takeover follows which shards this process holds, acquires those that the
// view gives to it, and hands over those that it takes away.
//
// A process that acquires a shard asks every other process for its state and
// reads the journals of dead ones. Each holder names the epoch, the view in
// which it took the shard; the highest epoch is right. A holder keeps its
// frozen state until the new owner has recorded it.
type takeover struct {
	l        *loop
	held     map[model.ShardID]uint64 // epoch of each shard with state here
	frozen   map[model.ShardID]bool   // held, and given away by the view
	acquire  *acquisition             // nil when nothing is to be acquired
	adopted  map[string]bool          // predecessors whose state is recorded here
	peers    map[string][]string      // what members report as adopted
	dropping map[string]bool
	recovery map[model.ShardID]bool // held, with reports of pool owners missing
}

func newTakeover(l *loop) *takeover {
	return &takeover{
		l:        l,
		held:     make(map[model.ShardID]uint64),
		frozen:   make(map[model.ShardID]bool),
		adopted:  make(map[string]bool),
		peers:    make(map[string][]string),
		dropping: make(map[string]bool),
		recovery: make(map[model.ShardID]bool),
	}
}

// install follows a new view.
func (t *takeover) install(v model.View) {
	for id := range t.peers {
		if !v.Has(id) {
			delete(t.peers, id)
		}
	}
	now := t.l.now()
	var missing []model.ShardID
	for s := range model.ShardID(model.ShardCount) {
		mine := v.ShardOwner(s) == t.l.n.self.Incarnation
		_, held := t.held[s]
		switch {
		case mine && !held:
			missing = append(missing, s)
		case mine && t.frozen[s]:
			t.thaw(now, s, v.Number)
		case !mine && held && !t.frozen[s]:
			t.freeze(now, s)
		}
	}
	t.abort()
	if len(missing) > 0 {
		t.acquire = newAcquisition(t, v, missing)
		t.acquire.start()
		return
	}
	t.adoptAll(v)
}

// abort drops an acquisition for an older view. The holders keep their state.
func (t *takeover) abort() {
	if t.acquire != nil {
		t.acquire.stop()
		t.acquire = nil
	}
}

func (t *takeover) freeze(now time.Time, s model.ShardID) {
	t.frozen[s] = true
	t.l.applyShard(t.l.table.Freeze(now, s))
}

// thaw takes a frozen shard back that a later view gives to this process again
// before another one has claimed it.
func (t *takeover) thaw(now time.Time, s model.ShardID, epoch uint64) {
	snapshot := t.l.table.Export(now, s)
	t.l.table.Drop(now, s)
	delete(t.frozen, s)
	t.hold(now, s, epoch, func() shard.Effects { return t.l.table.Import(now, snapshot) })
}

// hold takes a shard: the ownership goes to the journal before its records.
func (t *takeover) hold(now time.Time, s model.ShardID, epoch uint64, take func() shard.Effects) {
	t.held[s] = epoch
	t.l.appendEntry(journalEntry{Own: &ownership{Shard: s, Epoch: epoch}}, time.Time{}, func(_ error, seq uint64) event {
		return ownershipWritten{seq: seq}
	})
	t.l.applyShard(take())
}

// settles reports whether the end of the attempt is to be taken here.
func (t *takeover) settles(a model.AttemptID) bool {
	s, ok := a.Shard()
	if !ok {
		return false
	}
	_, held := t.held[s]
	return held && !t.frozen[s]
}

// settlesAll reports whether all ends are to be taken here.
func (t *takeover) settlesAll(settled []model.Settled) bool {
	for _, s := range settled {
		if !t.settles(s.Attempt) {
			return false
		}
	}
	return true
}

// open reports whether requests of the shard are served here.
func (t *takeover) open(s model.ShardID) bool {
	_, held := t.held[s]
	return held && !t.frozen[s]
}

// moving reports whether shards are being acquired or handed over.
func (t *takeover) moving() bool {
	return t.acquire != nil || len(t.frozen) > 0 || len(t.recovery) > 0
}

// empty reports whether no shard state is left here.
func (t *takeover) empty() bool { return len(t.held) == 0 }

// ownerships lists the held shards.
func (t *takeover) ownerships() []ownership {
	out := make([]ownership, 0, len(t.held))
	for s, epoch := range t.held {
		out = append(out, ownership{Shard: s, Epoch: epoch})
	}
	slices.SortFunc(out, func(a, b ownership) int { return int(a.Shard) - int(b.Shard) })
	return out
}

// export answers a claim with the state of the shards that are held here.
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

// release drops shards whose state the new owner has recorded.
func (t *takeover) release(shards []model.ShardID) {
	now := t.l.now()
	for _, s := range shards {
		if !t.frozen[s] {
			continue
		}
		delete(t.frozen, s)
		delete(t.held, s)
		delete(t.recovery, s)
		t.l.applyShard(t.l.table.Drop(now, s))
	}
}

// tick retries what is incomplete.
func (t *takeover) tick(now time.Time) {
	if t.acquire != nil {
		t.acquire.tick(now)
	}
	for s := range t.recovery {
		if _, open := t.l.table.Recovering(s); !open {
			delete(t.recovery, s)
		}
	}
	t.dropAdopted()
}

// adoptAll notes that nothing of the predecessors is needed here any more.
func (t *takeover) adoptAll(v model.View) {
	for _, p := range v.Predecessors {
		t.adopted[p] = true
	}
	for p := range t.adopted {
		if !slices.Contains(v.Predecessors, p) {
			delete(t.adopted, p)
		}
	}
}

// adoptedList returns the predecessors whose state is recorded here.
func (t *takeover) adoptedList() []string {
	return slices.Sorted(maps.Keys(t.adopted))
}

// peerAdopted takes the report of a member.
func (t *takeover) peerAdopted(from string, adopted []string) {
	t.peers[from] = adopted
}

// dropAdopted removes a predecessor that every member has adopted. The first
// member of the view does it, so that the store sees one writer.
func (t *takeover) dropAdopted() {
	v := t.l.view
	if len(v.Predecessors) == 0 || len(v.Members) == 0 || v.Members[0].Incarnation != t.l.n.self.Incarnation {
		return
	}
	for _, p := range v.Predecessors {
		if t.dropping[p] || !t.adoptedByAll(v, p) {
			continue
		}
		t.dropping[p] = true
		go t.l.n.dropPredecessor(p)
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
		if !slices.Contains(t.peers[m.Incarnation], predecessor) {
			return false
		}
	}
	return true
}

// shardExport is the state of one shard at a holder.
type shardExport struct {
	Shard    model.ShardID
	Epoch    uint64
	Snapshot shard.Snapshot
}
