package control

import (
	"testing"

	"github.com/agateyard/agateyard/internal/scheduler"
)

// TestRunnerFences guards against calls for an ended incarnation of a runner that the next one carries out, as both have the same
// token, against a token above that of a successor, and against one that falls, which the runner would refuse.
func TestRunnerFences(t *testing.T) {
	f := newRunnerFences(10)
	if f.raise("r") || f.of("r") != 10 {
		t.Errorf("token %d without a revision at which the store had the claim", f.of("r"))
	}
	f.confirm(25)
	f.confirm(20) // an answer that was overtaken
	if !f.raise("r") || f.of("r") != 25 || f.of("other") != 10 {
		t.Errorf("token %d, of another runner %d, want 25 and 10", f.of("r"), f.of("other"))
	}
	if f.raise("r") || f.of("r") != 25 {
		t.Errorf("token %d, raised again without a later revision", f.of("r"))
	}
	if f.confirm(40); !f.wanted["r"] || !f.raise("r") || f.of("r") != 40 || f.wanted["r"] {
		t.Errorf("token %d, want 40", f.of("r"))
	}
}

// TestFenceRisesWithRestart guards against late calls for an ended incarnation that the next one carries out: the calls for it have
// to carry a higher token, which is a revision at which the store still had the claim.
func TestFenceRisesWithRestart(t *testing.T) {
	store := newMemoryStore()
	n := newTestNode(store, "127.0.0.1:1", testWeight)
	o := newTestOwnership(n.Node)
	defer o.cancel()
	ref := scheduler.RunnerRef{ID: "r", Addr: "r:1"}
	o.sched.RunnerListed(scheduler.RunnerInfo{ID: ref.ID, Addr: ref.Addr, Service: "s"})
	o.report(scheduler.Report{Runner: ref.ID, Addr: ref.Addr, Incarnation: 2, Clock: 1, RequestedAt: o.loopTime})
	before := o.fences.of(ref.ID)
	o.report(scheduler.Report{Runner: ref.ID, Addr: ref.Addr, Incarnation: 1, Clock: 1, RequestedAt: o.loopTime})
	if !o.fences.wanted[ref.ID] {
		t.Fatal("the restart raises no token")
	}
	o.fences.confirm(before + 7)
	o.raiseFence(ref.ID)
	if got := o.fences.of(ref.ID); got != before+7 {
		t.Errorf("token %d, want %d", got, before+7)
	}
}
