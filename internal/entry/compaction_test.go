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
