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
