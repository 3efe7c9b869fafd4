package journal

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/platform/standin"
)

// Guards against the loss of acknowledged records, against the replay of records that
// were reported as not written, and against acknowledgements after a seal, under lost,
// delayed and refused writes, compactions and concurrent successors.
func TestNoAcknowledgedRecordIsLostUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, runFaults)
	})
}

func runFaults(t *rapid.T) {
	h := newHarness(rapid.IntRange(1, 9).Draw(t, "members"), nil)
	defer h.close()
	faults := standin.Faults{LateMS: 300}
	compactions := make(chan error, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer cancel()
	t.Repeat(map[string]func(*rapid.T){
		"append":               func(*rapid.T) { h.append(0) },
		"append with deadline": func(t *rapid.T) { h.append(drawDelay(t)) },
		"advance":              func(t *rapid.T) { time.Sleep(drawDelay(t)) },
		"faults": func(t *rapid.T) {
			faults.Outage = rapid.Bool().Draw(t, "outage")
			faults.LostReplies = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost replies")
			faults.LostRequests = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost requests")
			faults.DelayNextWrites = rapid.IntRange(0, 2).Draw(t, "delayed")
			h.server.SetFaults(faults)
		},
		"compact": func(*rapid.T) {
			go func() { compactions <- h.w.Compact(ctx, h.collect) }()
		},
		"members": func(t *rapid.T) { h.w.SetMembers(rapid.IntRange(1, 9).Draw(t, "n")) },
	})
	if rapid.Bool().Draw(t, "owner crashes first") {
		h.cancel()
	}
	if rapid.Bool().Draw(t, "store recovers first") {
		h.server.SetFaults(standin.Faults{})
	} else {
		h.server.SetFaults(standin.Faults{DelayNextWrites: 1, LateMS: 300, LostReplies: 0.2})
	}
	for range rapid.IntRange(0, 3).Draw(t, "appends that race with the seal") {
		h.append(0)
	}
	checkSealed(t, h, rapid.Bool().Draw(t, "owner pauses until the removal"))
}

func drawDelay(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
}

// checkSealed seals the journal, checks that appends fail, waits until delayed writes
// have arrived and compares the replay with the reported results. A second replay 5 s
// later must return the same records. It then checks Remove. A paused owner appends
// nothing between the seal and the removal.
func checkSealed(t testReporter, h *harness, paused bool) {
	t.Helper()
	h.sealConcurrently(t)
	h.server.SetFaults(standin.Faults{})
	if !paused {
		h.checkAppendFails(t)
	}
	time.Sleep(5 * time.Second)
	first := h.replay(t)
	h.checkReplay(t, first)
	time.Sleep(5 * time.Second)
	if second := h.replay(t); !slices.Equal(first, second) {
		t.Fatalf("replays differ: %v, %v", first, second)
	}
	ctx := context.Background()
	if err := Remove(ctx, h.server, testOwner); err != nil {
		t.Fatalf("remove: %v", err)
	}
	if err := Replay(ctx, h.server, testOwner, nil); !errors.Is(err, ErrRemoved) {
		t.Fatalf("replay after removal: %v", err)
	}
	h.checkAppendFails(t)
}
