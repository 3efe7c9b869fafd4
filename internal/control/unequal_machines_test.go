package control

import (
	"context"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/candidacy"
)

// Options of processes on the VMs of the deployment Adwenpa.
var (
	largeMachine  = Options{Weight: 800, LinkMbps: 200, MemoryMB: 536}
	middleMachine = Options{Weight: 480, LinkMbps: 10, MemoryMB: 284}
	smallMachine  = Options{Weight: 144, LinkMbps: 10, MemoryMB: 144}
)

// startMachines starts a cell of processes with the given options.
func startMachines(t *testing.T, machines ...Options) (*memoryStore, []*testNode) {
	t.Helper()
	store := newMemoryStore()
	if _, err := store.Commit(context.Background(), Commit{Puts: []Put{{Key: "op/config", Value: []byte{1}}}}); err != nil {
		t.Fatal(err)
	}
	var nodes []*testNode
	for _, opt := range machines {
		nodes = append(nodes, startNodeOf(t, testDeps(), store, opt))
	}
	eventually(t, 5*time.Second, "all processes ready", func() bool {
		for _, n := range nodes {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	return store, nodes
}

// knowLoad tells all processes the load of a cell of 350 runners, as the owner's replies do.
func knowLoad(nodes []*testNode) {
	for _, n := range nodes {
		n.view.setOwnerLoad(candidacy.Load{Runners: 350, StartsPerSecond: 450})
	}
}

// TestOneClaimAfterLargeMachinesAreLost guards against the takeovers of Adwenpa scale-1: after the owner and most other
// large VMs had been killed, a VM that couldn't carry the cell claimed ownership while a large one was alive, and two more
// claims followed. When no large VM is left, one that can carry the cell better than the smallest takes over.
func TestOneClaimAfterLargeMachinesAreLost(t *testing.T) {
	_, nodes := startMachines(
		t, largeMachine, largeMachine, largeMachine, middleMachine, middleMachine, middleMachine,
		smallMachine, smallMachine, smallMachine, smallMachine,
	)
	var owner *testNode
	eventually(t, 8*time.Second, "an owner on a large machine", func() bool {
		owners := ownersOf(nodes)
		if len(owners) != 1 || owners[0].opt.Weight != largeMachine.Weight {
			return false
		}
		owner = owners[0]
		return true
	})
	knowLoad(nodes)
	before, _ := owner.view.currentOwner()
	owner.kill()
	alive := others(nodes, owner)
	for _, n := range nodes[:3] {
		if n != owner {
			n.kill()
			alive = others(alive, n)
			break
		}
	}
	var next *testNode
	eventually(t, 4*time.Second, "a new owner", func() bool {
		owners := ownersOf(alive)
		if len(owners) == 0 {
			return false
		}
		next = owners[0]
		return true
	})
	time.Sleep(3 * time.Second) // in which the further claims happened
	if info, _ := next.view.currentOwner(); info.Term != before.Term+1 || next.opt.Weight != largeMachine.Weight {
		t.Errorf("%d claims after the loss, first owner on a machine of %d", info.Term-before.Term, next.opt.Weight)
	}
	before, _ = next.view.currentOwner()
	next.kill()
	alive = others(alive, next)
	eventually(t, 4*time.Second, "an owner without large machines", func() bool { return len(ownersOf(alive)) == 1 })
	last := ownersOf(alive)[0]
	if info, _ := last.view.currentOwner(); info.Term != before.Term+1 || last.opt.Weight != middleMachine.Weight {
		t.Errorf("%d claims after the loss of the last large machine, owner on a machine of %d", info.Term-before.Term, last.opt.Weight)
	}
}

// TestOwnerOfPreviousBuild guards against processes that disagree about the candidates while builds are mixed: one that
// tells no link counts by its processor, and its replies tell no load.
func TestOwnerOfPreviousBuild(t *testing.T) {
	n := newTestNodeOf(testDeps(), newMemoryStore(), Options{Address: "10.0.0.1:1", Weight: 480, LinkMbps: 10})
	n.view.setMember(Member{Incarnation: "old", Address: "10.0.0.2:1", Weight: 800})
	n.applyPingReply(PingReply{IsOwner: true, Incarnation: "old"})
	if got := n.candidateDelay(OwnerInfo{Term: 3}); got < 700*time.Millisecond {
		t.Errorf("waits only %s for a large machine of the previous build", got)
	}
	n.applyPingReply(PingReply{IsOwner: true, Load: candidacy.Load{Runners: 20}})
	n.view.setMember(Member{Incarnation: "old", Address: "10.0.0.2:1", Weight: 480})
	if got := n.candidateDelay(OwnerInfo{Term: 3}); got > 80*time.Millisecond {
		t.Errorf("waits %s for a like machine of the previous build", got)
	}
}

// TestNoHandoverToNewProcess guards against ownership that is handed to a process which has only just joined, and against
// more than one handover.
func TestNoHandoverToNewProcess(t *testing.T) {
	store, nodes := startMachines(t, smallMachine)
	eventually(t, 2*time.Second, "an owner", func() bool { return nodes[0].ownership.Load() != nil })
	before, _ := nodes[0].view.currentOwner()
	time.Sleep(2500 * time.Millisecond) // the owner may hand over from now on
	nodes = append(nodes, startNodeOf(t, testDeps(), store, middleMachine), startNodeOf(t, testDeps(), store, largeMachine))
	started := time.Now()
	eventually(t, 6*time.Second, "the large machine becomes the owner", func() bool { return nodes[2].ownership.Load() != nil })
	if took := time.Since(started); took < 2*time.Second {
		t.Errorf("handed over %s after the large machine had started", took)
	}
	time.Sleep(3 * time.Second)
	if info, _ := nodes[2].view.currentOwner(); info.Term != before.Term+1 {
		t.Errorf("%d changes of owner", info.Term-before.Term)
	}
}

// TestClaimIsLeftToLiveMachine guards against a claim by a machine that can't carry the cell while one that can is alive and
// only slow to notice the loss, and against waiting for one that is dead, is leaving or never claims.
func TestClaimIsLeftToLiveMachine(t *testing.T) {
	live := startWithoutCell(t)
	n := newTestNodeOf(testDeps(), newMemoryStore(), Options{Address: "127.0.0.1:1", Weight: 144, LinkMbps: 10})
	o := OwnerInfo{Term: 3, Incarnation: "lost"}
	fitter := Member{Incarnation: live.incarnation, Address: live.opt.Address, Weight: 800, LinkMbps: 200}
	ctx, now := context.Background(), n.clock.Now()
	n.view.setMember(fitter)
	if !n.leaveToFitter(ctx, o, now) {
		t.Error("claims although a large machine is alive")
	}
	if n.leaveToFitter(ctx, o, now+3*time.Second) {
		t.Error("still waits after 3 s for a large machine that doesn't claim")
	}
	o.Term++
	live.leaving.Store(true)
	if n.leaveToFitter(ctx, o, now) {
		t.Error("waits for a machine that leaves")
	}
	fitter.Address = "127.0.0.1:2" // nothing listens there
	n.view.setMember(fitter)
	if n.leaveToFitter(ctx, o, now) {
		t.Error("waits for a machine that is dead")
	}
}
