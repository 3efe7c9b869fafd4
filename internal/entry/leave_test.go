package entry

import (
	"context"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/shard"
)

// importEvent adds a job to shard 0 and to the journal.
type importEvent struct{ record shard.Record }

func (e importEvent) apply(l *loop) {
	fx := l.table.Drop(l.now(), 0)
	fx.Add(l.table.Import(l.now(), shard.Snapshot{Records: []shard.Record{e.record}}))
	l.appendState(journalEntry{Own: &ownership{Epoch: l.takeover.held[0]}})
	l.appendState(journalEntry{Record: &e.record})
}

// Guards against accepted jobs that are lost when the whole cell is stopped in order: the last
// process has nobody to hand them over to.
func TestJobsSurviveTheStopOfTheLastProcess(t *testing.T) {
	p, store, _ := runProcess(t)
	waitForShards(t, p)
	key, n := jobKey(1), p.Node()
	n.post(importEvent{record: accepted(key)})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := p.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	n.cancel(nil)
	store.ExpireLease("cluster/members/" + n.self.Incarnation)
	cfg, _ := testConfig(t)
	cfg.Store, cfg.VMs = store, store
	next, _ := startProcess(t, cfg)
	waitForShards(t, next)
	if _, found, err := next.Status(t.Context(), key); !found || err != nil {
		t.Errorf("the job is lost: %v", err)
	}
}

// Guards against journals of processes that have left in order, which stay in the store, and
// against a process that ends then, while it still forwards the requests in flight.
func TestLeaveRemovesTheJournal(t *testing.T) {
	p, store, ended := runProcess(t)
	waitForShards(t, p)
	cfg, _ := testConfig(t)
	cfg.Store, cfg.VMs = store, store
	next, _ := startProcess(t, cfg)
	waitFor(t, "second member", func() bool { return member(next) && len(p.Node().currentView().Members) == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := p.Leave(ctx); err != nil {
		t.Fatal(err)
	}
	waitForShards(t, next)
	left, err := store.List(ctx, "journal/"+p.Node().self.Incarnation+"/", "", 10)
	if err != nil || len(left.Entries) != 1 {
		t.Errorf("%d values of the journal are left, want only the tombstone, %v", len(left.Entries), err)
	}
	n := p.Node()
	n.journal.Append([]byte("{}"), time.Time{}, func(error) { n.stopReplaced() })
	time.Sleep(200 * time.Millisecond)
	if len(ended) > 0 || n.ctx.Err() != nil {
		t.Error("the process ended")
	}
	if err := journal.Replay(ctx, store, p.Node().self.Incarnation, nil); err == nil {
		t.Error("the journal was not removed")
	}
}
