package entry

import (
	"math/rand"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/shard"
)

// Guards against a journal that a process without shards can never compact, since its
// empty snapshot counted as one that could not be taken.
func TestProcessWithoutShardsCanCompact(t *testing.T) {
	l := &loop{table: shard.New(shard.Config{}, rand.New(rand.NewSource(1)))}
	l.takeover = newTakeover(l)
	if entries := l.snapshotEntries(time.Unix(1000, 0)); entries == nil || len(entries) > 0 {
		t.Errorf("snapshot %v, want an empty one", entries)
	}
}

// Guards against a snapshot that is followed by entries of older state, so that a finished job
// starts again at the next owner.
func TestNoSnapshotWhileStateIsWritten(t *testing.T) {
	l := ownerNode(t).loop
	l.takeover.abort()
	l.appendState(journalEntry{Own: &ownership{Epoch: 1}})
	if entries := l.snapshotEntries(l.now()); entries != nil {
		t.Errorf("a snapshot of %d entries while state is written", len(entries))
	}
	stateWritten{seq: l.acks.lastSeq}.apply(l)
	if l.snapshotEntries(l.now()) == nil {
		t.Error("no snapshot although the state is written")
	}
}
