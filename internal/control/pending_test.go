package control

import (
	"testing"
	"time"
)

// TestPendingCountIsRecent guards against a process without an owner that goes on telling callers an old count of pending
// jobs, and against one that says 0 before an owner has told it.
func TestPendingCountIsRecent(t *testing.T) { inBubble(t, testPendingCountIsRecent) }

func testPendingCountIsRecent(t *testing.T) {
	idle := newTestNode(newMemoryStore(), "10.0.0.9:1", testWeight)
	if count, known := idle.Pending("q"); known {
		t.Errorf("%d pending jobs before any contact", count)
	}
	_, nodes := startCell(t, 3)
	for i := range 4 {
		if got := submit(nodes[0], testSpec(i)); got != OutcomeStored {
			t.Fatal(got)
		}
	}
	all := func(want int) func() bool {
		return func() bool {
			for _, n := range nodes {
				if count, known := n.Pending("q"); !known || count != want {
					return false
				}
			}
			return true
		}
	}
	eventually(t, time.Second, "four pending jobs at all processes", all(4))
	owner := ownersOf(nodes)[0]
	for _, n := range others(nodes, owner) {
		n.store.setPartitioned(true)
	}
	owner.kill()
	time.Sleep(maxPendingAge + time.Second)
	for i, n := range others(nodes, owner) {
		if count, known := n.Pending("q"); known {
			t.Errorf("process %d says %d pending jobs 3 s after the end of the owner", i, count)
		}
	}
}

// TestPendingCountOfStalledOwner guards against counts that are older than callers may be told: the event loop of the owner stands still,
// while its pings are answered and its last counts handed on as if they were new (MIXED).
func TestPendingCountOfStalledOwner(t *testing.T) { inBubble(t, testPendingCountOfStalledOwner) }

func testPendingCountOfStalledOwner(t *testing.T) {
	_, nodes := startCell(t, 3)
	known := func(want bool) func() bool {
		return func() bool {
			for _, n := range nodes {
				if _, known := n.Pending("q"); known != want {
					return false
				}
			}
			return true
		}
	}
	eventually(t, time.Second, "counts at all processes", known(true))
	const stall = 2 * maxPendingAge
	ownersOf(nodes)[0].ownership.Load().post(func() { time.Sleep(stall) })
	time.Sleep(maxPendingAge + 500*time.Millisecond)
	for i, n := range nodes {
		if count, known := n.Pending("q"); known {
			t.Errorf("process %d says %d pending jobs %s after the last count", i, count, maxPendingAge+500*time.Millisecond)
		}
	}
	time.Sleep(stall)
	eventually(t, 5*time.Second, "counts at all processes again", known(true))
}

// TestPendingCountOfPausedOwner guards against the counts of an owner that has been paused and doesn't know yet whether it has been replaced:
// its successor may have accepted jobs that they don't hold (MIXED).
func TestPendingCountOfPausedOwner(t *testing.T) { inBubble(t, testPendingCountOfPausedOwner) }

func testPendingCountOfPausedOwner(t *testing.T) {
	_, nodes := startCell(t, 3)
	owner := ownersOf(nodes)[0]
	eventually(t, time.Second, "a count", func() bool {
		_, known := owner.Pending("q")
		return known
	})
	owner.store.setPartitioned(true) // it can't read its claim
	local := owner.ownership.Load()
	paused := make(chan struct{})
	local.post(func() {
		local.recheckClaim(time.Second)
		close(paused)
	})
	<-paused
	_, before := local.pendingJobs()
	time.Sleep(4 * tickInterval)
	if owner.ownership.Load() != local {
		t.Fatal("the ownership has ended")
	}
	if _, after := local.pendingJobs(); after != before {
		t.Errorf("jobs were counted %s after the pause, while the claim was not confirmed", after-before)
	}
}
