package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestDrainIsSeenAmongHeartbeats guards against a runner that gets work seconds after it has said that it drains (rule
// DRAIN on a cell of 3,000 runners): the heartbeats of the others changed more entries than the watch read, so it fell
// behind (pattern: hundreds of VMs).
func TestDrainIsSeenAmongHeartbeats(t *testing.T) { inBubble(t, testDrainIsSeenAmongHeartbeats) }

func testDrainIsSeenAmongHeartbeats(t *testing.T) {
	const heartbeats, pageSize = 2000, 300 // a second; changes in an answer of the store
	c := newRelayCell(t, 1, 0)
	c.store.mu.Lock()
	c.store.maxChanges = pageSize
	c.store.mu.Unlock()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			for i := range heartbeats / 100 {
				put := Put{Key: fmt.Sprintf("servers/r%02d", i%(relayCellRunners-1)), Value: []byte(fmt.Sprint("ready", n))}
				_, _ = c.store.Commit(context.Background(), Commit{Puts: []Put{put}})
			}
		}
	}()
	time.Sleep(3 * time.Second)
	draining := fmt.Sprintf("r%02d", relayCellRunners-1)
	if _, err := c.store.Commit(context.Background(), Commit{Puts: []Put{{Key: "servers/" + draining, Value: []byte("draining")}}}); err != nil {
		t.Fatal(err)
	}
	eventually(t, time.Second, "the owner sees the drain", func() bool {
		c.log.mu.Lock()
		defer c.log.mu.Unlock()
		for _, line := range c.log.lines {
			if line.event == "runner" && line.fields["change"] == "draining" && line.fields["runner"] == draining {
				return true
			}
		}
		return false
	})
	if !c.runJob() {
		t.Error("a job is not done")
	}
	if state, _ := stateOf(t, c.nodes[0], testSpec(c.jobs).ID); state != job.Done {
		t.Errorf("state %q", state)
	}
}

// TestDrainBehindQuietWatch guards against a runner that gets work seconds after it has said that it drains, because the watch
// of the owner answers that nothing has changed.
func TestDrainBehindQuietWatch(t *testing.T) { inBubble(t, testDrainBehindQuietWatch) }

func testDrainBehindQuietWatch(t *testing.T) {
	const drainLimit = 2 * time.Second // drain-ms of the platform's smallest deployments
	log, link := &recordingLog{}, &faultyLink{}
	deps := testDeps()
	deps.Log, deps.Runners, deps.Advisor, deps.Directory = log, newFakeRunners(), allEligibleAdvisor{}, fakeDirectory{}
	store := newMemoryStore()
	putValue(t, store, "op/config", "\x01")
	for _, id := range []string{"a", "b", "c"} {
		putValue(t, store, "servers/"+id, "ready")
	}
	node := startNodeWithStore(t, deps, store, Options{Weight: testWeight}, func(s Store) Store { link.Store = s; return link })
	eventually(t, 5*time.Second, "an owner that accepts jobs", func() bool { return submit(node, testSpec(1)) == OutcomeStored })
	link.set(quietWatch)
	time.Sleep(200 * time.Millisecond)
	putValue(t, store, "servers/a", "draining")
	eventually(t, drainLimit, "the owner sees the drain", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		for _, line := range log.lines {
			if line.event == "runner" && line.fields["change"] == "draining" {
				return true
			}
		}
		return false
	})
}

// TestOlderEntriesAreNotReplayed guards against a drained runner that gets work again because a watch delivers changes from
// before the read of its entry (a read of several pages is watched from the revision of its first page).
func TestOlderEntriesAreNotReplayed(t *testing.T) { inBubble(t, testOlderEntriesAreNotReplayed) }

func testOlderEntriesAreNotReplayed(t *testing.T) {
	n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
	n.dep.Directory = fakeDirectory{}
	o := newTestOwnership(n.Node)
	defer o.cancel()
	entries := newRunnerEntries(o)
	entries.reset([]Item{{Key: "servers/a", Value: []byte("draining"), Rev: 9}}, 0)
	for _, change := range []struct {
		item     Item
		draining bool
	}{
		{Item{Key: "servers/a", Value: []byte("ready"), Rev: 7}, true},
		{Item{Key: "servers/a", Rev: 8, Deleted: true}, true},
		{Item{Key: "servers/a", Value: []byte("draining"), Rev: 9}, true},
		{Item{Key: "servers/a", Value: []byte("ready"), Rev: 10}, false},
	} {
		entries.apply(change.item, 0)
		if info, ok := entries.known["a"]; !ok || info.Draining != change.draining {
			t.Errorf("after revision %d: %+v, known %v", change.item.Rev, info, ok)
		}
	}
}
