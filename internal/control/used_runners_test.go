package control

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// TestSuccessorDoesNotWaitForRemovedRunners guards against a takeover that stalls earlier jobs for the run lease plus the
// owner lease because the stored list still has runners that were removed long before. Found on the benchmark day scale-2
// of the deployment Kalnins grown (rule LOST, benchmark seed 559595792794): 21 runners were lost 18 s before the
// takeover, and 2,110 tasks waited for 8 s.
func TestSuccessorDoesNotWaitForRemovedRunners(t *testing.T) {
	inBubble(t, testSuccessorDoesNotWaitForRemovedRunners)
}

func testSuccessorDoesNotWaitForRemovedRunners(t *testing.T) {
	runners := newFakeRunners()
	deps := testDeps()
	deps.Runners, deps.Advisor, deps.Directory = runners, allEligibleAdvisor{}, fakeDirectory{}
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
	eventually(t, 5*time.Second, "an owner that accepts jobs", func() bool {
		return len(ownersOf(nodes)) == 1 && submit(nodes[0], testSpec(1)) == OutcomeStored
	})
	eventually(t, 2*time.Second, "the first job is done", func() bool { state, _ := stateOf(t, nodes[0], testSpec(1).ID); return state == job.Done })

	runners.remove("b")
	if _, err := store.Commit(ctx, Commit{Deletes: []string{"servers/b"}}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(7 * time.Second) // longer than the lease of 4 s, its margin, and the time until the stored list is next pruned

	runners.set(true, false) // no start succeeds until the takeover
	if got := submit(nodes[0], testSpec(2)); got != OutcomeStored {
		t.Fatalf("submission of the second job: %s", got)
	}
	owner := ownersOf(nodes)[0]
	rest := others(nodes, owner)
	owner.kill()
	runners.set(false, false)
	eventually(t, 2*time.Second, "the successor finishes a job that was submitted before the takeover", func() bool {
		state, _ := stateOf(t, rest[0], testSpec(2).ID)
		return state == job.Done
	})
}

// TestEntriesWithoutRunnerDelayNoSuccessor guards against entries of another writer that lead to no runner, and for which a
// successor waits as long as runs could exist there; against polls of them that go on at the rate of runners just lost, and
// against a write of the list for each of them.
func TestEntriesWithoutRunnerDelayNoSuccessor(t *testing.T) {
	inBubble(t, testEntriesWithoutRunnerDelayNoSuccessor)
}

func testEntriesWithoutRunnerDelayNoSuccessor(t *testing.T) {
	runners := &polledRunners{fakeRunners: newFakeRunners(), polls: map[string]int{}}
	deps := testDeps()
	deps.Runners, deps.Advisor, deps.Directory = runners, allEligibleAdvisor{}, fakeDirectory{}
	store := newMemoryStore()
	putValue(t, store, "op/config", "\x01")
	putValue(t, store, "servers/a", "ready")
	var nodes []*testNode
	for range 3 {
		nodes = append(nodes, startNodeWith(t, deps, store, testWeight))
	}
	runners.set(true, false) // no start succeeds until the takeover
	eventually(t, 5*time.Second, "an owner that accepts jobs", func() bool {
		return len(ownersOf(nodes)) == 1 && submit(nodes[0], testSpec(1)) == OutcomeStored
	})
	const odd = 20
	for i := range odd {
		id := fmt.Sprint("odd", i)
		runners.remove(id)
		putValue(t, store, "servers/"+id, "ready")
	}
	time.Sleep(10 * time.Second)
	before := runners.pollsOf("odd0")
	time.Sleep(10 * time.Second)
	if polls := runners.pollsOf("odd0") - before; polls > 11 {
		t.Errorf("%d polls of an entry without a runner in 10 s", polls)
	}
	item, _, err := store.Get(context.Background(), runnersKey)
	if err != nil || strings.Contains(string(item.Value), "odd") {
		t.Errorf("recorded runners %s, error %v", item.Value, err)
	}
	owner := ownersOf(nodes)[0]
	rest := others(nodes, owner)
	owner.kill()
	runners.set(false, false)
	eventually(t, 2*time.Second, "the successor finishes a job that was submitted before the takeover", func() bool {
		state, _ := stateOf(t, rest[0], testSpec(1).ID)
		return state == job.Done
	})
}

// polledRunners counts the polls of each runner.
type polledRunners struct {
	*fakeRunners
	mu    sync.Mutex
	polls map[string]int
}

func (c *polledRunners) Poll(ctx context.Context, r scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	c.mu.Lock()
	c.polls[r.ID]++
	c.mu.Unlock()
	return c.fakeRunners.Poll(ctx, r, req)
}

func (c *polledRunners) pollsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.polls[id]
}
