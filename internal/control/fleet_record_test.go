package control

import (
	"context"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestSuccessorDoesNotWaitForRunnersThatAreGone guards against a takeover after which the jobs of before stand still for as
// long as a lease and an owner may last, because the record names runners that left long ago (LOST, Kalnins grown scale-2,
// seed 559595792794: 21 runners were lost 18 s before the takeover, and 2,110 tasks waited for 8 s).
func TestSuccessorDoesNotWaitForRunnersThatAreGone(t *testing.T) {
	runners := newWorkingRunners()
	deps := testDeps()
	deps.Runners, deps.Advisor, deps.Directory = runners, allAdvice{}, advisedDirectory{}
	store := newMemoryStore()
	ctx := context.Background()
	for _, p := range []Put{{Key: "op/config", Value: []byte{1}}, {Key: "servers/a", Value: []byte("ready")}, {Key: "servers/b", Value: []byte("ready")}} {
		if _, err := store.Commit(ctx, Commit{Puts: []Put{p}}); err != nil {
			t.Fatal(err)
		}
	}
	var nodes []*testNode
	for range 3 {
		nodes = append(nodes, startNodeWith(t, deps, store, testWeight))
	}
	eventually(t, 5*time.Second, "an owner that serves", func() bool {
		return len(ownersOf(nodes)) == 1 && submit(nodes[0], testSpec(1)) == OutcomeStored
	})
	eventually(t, 2*time.Second, "a first job", func() bool { state, _ := stateOf(t, nodes[0], testSpec(1).ID); return state == job.Done })

	runners.remove("b")
	if _, err := store.Commit(ctx, Commit{Deletes: []string{"servers/b"}}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(7 * time.Second) // the lease is 4 s, its margin and the next change of the record follow

	runners.set(true, false) // no start succeeds until the takeover
	if got := submit(nodes[0], testSpec(2)); got != OutcomeStored {
		t.Fatalf("answer %s", got)
	}
	owner := ownersOf(nodes)[0]
	rest := others(nodes, owner)
	owner.kill()
	runners.set(false, false)
	eventually(t, 2*time.Second, "a job of before is done by the successor", func() bool {
		state, _ := stateOf(t, rest[0], testSpec(2).ID)
		return state == job.Done
	})
}
