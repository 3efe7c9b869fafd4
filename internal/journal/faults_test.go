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

// Guards against the loss of acknowledged records, against records that return
// although they were reported as not written, and against acknowledgements after a
// seal, under lost, delayed and refused writes, compactions and racing successors.
func TestNoAcknowledgedRecordIsLostUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, runFaults)
	})
}

func runFaults(t *rapid.T) {
	x := newWorld(rapid.IntRange(1, 9).Draw(t, "members"), nil)
	defer x.close()
	faults := standin.Faults{LateMS: 300}
	compactions := make(chan error, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer cancel()
	t.Repeat(map[string]func(*rapid.T){
		"append":               func(*rapid.T) { x.append(0) },
		"append with deadline": func(t *rapid.T) { x.append(drawDelay(t)) },
		"advance":              func(t *rapid.T) { time.Sleep(drawDelay(t)) },
		"faults": func(t *rapid.T) {
			faults.Outage = rapid.Bool().Draw(t, "outage")
			faults.LostReplies = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost replies")
			faults.LostRequests = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "lost requests")
			faults.DelayNextWrites = rapid.IntRange(0, 2).Draw(t, "delayed")
			x.server.SetFaults(faults)
		},
		"compact": func(*rapid.T) {
			go func() { compactions <- x.w.Compact(ctx, x.collect) }()
		},
		"members": func(t *rapid.T) { x.w.SetMembers(rapid.IntRange(1, 9).Draw(t, "n")) },
	})
	if rapid.Bool().Draw(t, "owner crashes first") {
		x.cancel()
	}
	if rapid.Bool().Draw(t, "store recovers first") {
		x.server.SetFaults(standin.Faults{})
	} else {
		x.server.SetFaults(standin.Faults{DelayNextWrites: 1, LateMS: 300, LostReplies: 0.2})
	}
	for range rapid.IntRange(0, 3).Draw(t, "appends that race with the seal") {
		x.append(0)
	}
	checkSealed(t, x, rapid.Bool().Draw(t, "owner pauses until the removal"))
}

func drawDelay(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
}

// checkSealed seals, appends after the seal and compares the replay with the oracle,
// then again after writes that were delayed have arrived and after the removal.
// A paused owner makes no append between seal and removal.
func checkSealed(t reporter, x *world, paused bool) {
	t.Helper()
	x.sealTwice(t)
	x.server.SetFaults(standin.Faults{})
	if !paused {
		x.appendInVain(t)
	}
	time.Sleep(5 * time.Second)
	first := x.replay(t)
	x.check(t, first)
	time.Sleep(5 * time.Second)
	if second := x.replay(t); !slices.Equal(first, second) {
		t.Fatalf("replays differ: %v, %v", first, second)
	}
	ctx := context.Background()
	if err := Remove(ctx, x.server, owner); err != nil {
		t.Fatalf("remove: %v", err)
	}
	if err := Replay(ctx, x.server, owner, nil); !errors.Is(err, ErrRemoved) {
		t.Fatalf("replay after removal: %v", err)
	}
	x.appendInVain(t)
}
