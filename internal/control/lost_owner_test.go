package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

const (
	// smallLink is the bandwidth of the smallest VMs in megabits a second.
	smallLink = 10
	// smallWeight is the processor of the smallest VMs in millicores, and smallMemory their memory in megabytes.
	smallWeight, smallMemory = 144, 144
	// payloadBytes is the size of the payload of an unfinished job.
	payloadBytes = 700
	// ownerlessLimit is how long a cell of small VMs may have no working owner, beside the time for which the stored jobs
	// occupy a small link twice: to notice the loss, to agree on it and to claim ownership.
	ownerlessLimit = 4 * time.Second
	// maxClaims is how many claims may follow the loss of an owner: that of the successor, and one of a process that is
	// lost as well or that claims without having seen it.
	maxClaims = 2
)

// storeJobs writes the records of jobs, a third of which are unfinished, and returns how long they occupy a small link.
func storeJobs(t *testing.T, store *memoryStore, jobs int) time.Duration {
	t.Helper()
	storeFinishedJobs(t, store, jobs)
	c := Commit{}
	for i := 0; i < jobs; i += 3 {
		spec := testSpec(0)
		spec.ID, spec.Payload = spreadID(i), strings.Repeat("x", payloadBytes)
		record := job.Record{Spec: spec}
		c.Puts = append(c.Puts, Put{Key: jobPrefix + spec.ID, Value: record.Encode()})
	}
	if _, err := store.Commit(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	items := store.all(jobPrefix)
	return (&narrowLink{bandwidth: smallLink * 1e6 / 8}).cost(itemBytes(items))
}

// loadedOwner returns the process that is the owner and has loaded the durable state, or nil.
func loadedOwner(nodes []*testNode) *testNode {
	for _, n := range nodes {
		if o := n.ownership.Load(); o != nil && o.hasLoaded() {
			return n
		}
	}
	return nil
}

// TestSmallVMsGetAnOwnerBack guards against a cell without an owner (incident LOST): the load of the durable state fills the
// narrow link of a small VM, pings wait behind it, and the others replace it before it has ended, one after the other.
func TestSmallVMsGetAnOwnerBack(t *testing.T) {
	for _, size := range []struct{ processes, jobs, losses int }{{40, 3000, 2}, {40, 16_000, 1}, {300, 3000, 1}} {
		t.Run(fmt.Sprintf("%d processes, %d jobs", size.processes, size.jobs), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { testSmallVMsGetAnOwnerBack(t, size.processes, size.jobs, size.losses) })
		})
	}
}

// startSmallCell starts processes on small VMs whose links have the given bandwidth, with stored jobs. It returns for how long
// these occupy a link of smallLink.
func startSmallCell(t *testing.T, processes, jobs int, linkMbps float64) (nodes []*testNode, transfer time.Duration) {
	t.Helper()
	networkOf(t).bandwidth = linkMbps * 1e6 / 8
	store := newMemoryStore()
	if _, err := store.Commit(context.Background(), Commit{Puts: []Put{{Key: "op/config", Value: []byte{1}}}}); err != nil {
		t.Fatal(err)
	}
	transfer = storeJobs(t, store, jobs)
	for range processes {
		nodes = append(nodes, startNodeOf(t, testDeps(), store, Options{Weight: smallWeight, LinkMbps: smallLink, MemoryMB: smallMemory}))
	}
	return nodes, transfer
}

func testSmallVMsGetAnOwnerBack(t *testing.T, processes, jobs, losses int) {
	nodes, transfer := startSmallCell(t, processes, jobs, smallLink)
	limit := ownerlessLimit + 2*transfer
	eventually(t, limit, "an owner has loaded the durable state", func() bool { return loadedOwner(nodes) != nil })
	for range losses {
		time.Sleep(3 * time.Second) // the members know each other
		lost := loadedOwner(nodes)
		if lost == nil {
			t.Fatal("the owner has been replaced although it was alive")
		}
		term := lost.ownership.Load().info.Term
		lost.kill()
		nodes = others(nodes, lost)
		eventually(t, limit, "the owner has been replaced", func() bool { return loadedOwner(nodes) != nil })
		owner := loadedOwner(nodes)
		if claims := owner.ownership.Load().info.Term - term; claims > maxClaims {
			t.Errorf("%d claims followed the loss of the owner, want at most %d", claims, maxClaims)
		}
		for i := range 20 {
			n := nodes[i%len(nodes)]
			if state, found := stateOf(t, n, spreadID(i)); !found || (state == job.Done) != (i%3 != 0) {
				t.Errorf("job %d: state %q, found %t", i, state, found)
			}
		}
	}
}

// TestSqueezedCellGetsAnOwner guards against successors that are replaced one after the other because something that their
// settings don't tell makes each of them silent while it loads: here links of a fraction of their bandwidth, as after a fault.
func TestSqueezedCellGetsAnOwner(t *testing.T) {
	for _, squeeze := range []float64{10, 25} {
		t.Run(fmt.Sprint(squeeze), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { testSqueezedCellGetsAnOwner(t, squeeze) })
		})
	}
}

func testSqueezedCellGetsAnOwner(t *testing.T, squeeze float64) {
	const jobs = 2000
	nodes, transfer := startSmallCell(t, 10, jobs, smallLink/squeeze)
	// The time that an owner is given doubles from term to term, so the one that suffices is at most twice what is
	// needed, and those before it are as long in all.
	limit := ownerlessLimit + time.Duration(4*squeeze*float64(transfer))
	eventually(t, limit, "an owner has loaded the durable state", func() bool { return loadedOwner(nodes) != nil })
	owner := loadedOwner(nodes)
	time.Sleep(5 * time.Second)
	if loadedOwner(nodes) != owner {
		t.Error("an owner that had loaded the durable state has been replaced")
	}
}
