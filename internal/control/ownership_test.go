package control

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"github.com/agateyard/agateyard/internal/job"
)

// TestOwnershipOfOlderTermEnds guards against two owners at once: a process learns of its successor before it receives the
// store's answer to its own claim.
func TestOwnershipOfOlderTermEnds(t *testing.T) {
	_, nodes := startCell(t, 2)
	owner := ownersOf(nodes)[0]
	other := others(nodes, owner)[0]
	info, _ := owner.view.currentOwner()
	late := OwnerInfo{Term: info.Term, Rev: info.Rev, Incarnation: other.incarnation, Address: other.opt.Address}
	owner.learnOwner(OwnerInfo{Term: info.Term + 1, Rev: info.Rev + 1, Incarnation: other.incarnation, Address: other.opt.Address}, "test")
	other.learnOwner(OwnerInfo{Term: info.Term + 1, Rev: info.Rev + 1, Incarnation: owner.incarnation, Address: owner.opt.Address}, "test")
	other.becomeOwner(late)
	eventually(t, time.Second, "the ownership of the older term ends", func() bool {
		local := other.ownership.Load()
		return local == nil || local.info.Term != late.Term
	})
}

// claimInFlight returns a process that knows of another process's claim (o), and the claiming process, which doesn't know
// yet that its claim has succeeded.
func claimInFlight(t *testing.T) (caller, claiming *testNode, o OwnerInfo) {
	t.Helper()
	_, nodes := startCell(t, 1)
	claiming = startWithoutCell(t)
	o = OwnerInfo{Term: 7, Rev: 70, Incarnation: claiming.incarnation, Address: claiming.opt.Address}
	nodes[0].view.setOwner(o, nodes[0].clock.Now())
	return nodes[0], claiming, o
}

// TestClaimInFlightIsNotReplaced guards against a second claim within milliseconds of the first: the store notifies the
// other processes of the new owner before the owner itself has received the answer to its claim.
func TestClaimInFlightIsNotReplaced(t *testing.T) {
	caller, claiming, o := claimInFlight(t)
	if got := caller.pingOwner(context.Background(), o); got != ownerHealthy {
		t.Errorf("owner that waits for the answer to its claim: verdict %s", verdictNames[got])
	}
	claiming.view.setOwner(o, claiming.clock.Now())
	if got := caller.pingOwner(context.Background(), o); got != ownerHealthy {
		t.Errorf("owner that has learned of its claim from a watch: verdict %s", verdictNames[got])
	}
	claiming.becomeOwner(o)
	claiming.ownership.Load().stepDown("test")
	eventually(t, time.Second, "an owner that has stepped down is replaced", func() bool {
		return caller.pingOwner(context.Background(), o) == ownerReplaced
	})
}

// TestUnstartedClaimIsReplaced guards against a cell without an owner: a process has claimed ownership but never starts it.
func TestUnstartedClaimIsReplaced(t *testing.T) {
	caller, _, o := claimInFlight(t)
	eventually(t, 2*ownerSilenceLimit, "the claim is regarded as replaced", func() bool {
		return caller.pingOwner(context.Background(), o) == ownerReplaced
	})
}

// TestOwnerLoadsAfterStoreOutage guards against an owner that steps down because the store becomes unreachable while it
// loads the durable state: no other process could load it either, and each further claim costs another load.
func TestOwnerLoadsAfterStoreOutage(t *testing.T) { inBubble(t, testOwnerLoadsAfterStoreOutage) }

func testOwnerLoadsAfterStoreOutage(t *testing.T) {
	_, nodes := startCell(t, 3)
	owner := ownersOf(nodes)[0]
	successor := others(nodes, owner)[0]
	for _, n := range nodes {
		n.store.setPartitioned(true)
	}
	info, _ := owner.view.currentOwner()
	next := OwnerInfo{Term: info.Term + 1, Rev: info.Rev, Incarnation: successor.incarnation, Address: successor.opt.Address}
	for _, n := range nodes {
		n.learnOwner(next, "test")
	}
	successor.becomeOwner(next)
	time.Sleep(time.Second)
	for _, n := range nodes {
		n.store.setPartitioned(false)
	}
	eventually(t, time.Second, "the durable state is loaded", func() bool {
		local := successor.ownership.Load()
		return local != nil && local.info.Term == next.Term && local.hasLoaded()
	})
}

// startWithoutCell starts a process that serves peers but is not a member of a cell.
func startWithoutCell(t *testing.T) *testNode {
	t.Helper()
	l := httptest.NewUnstartedServer(nil).Listener
	tn := newTestNode(newMemoryStore(), l.Addr().String(), testWeight)
	tn.store.setPartitioned(true)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = tn.servePeers(ctx, l)
	}()
	t.Cleanup(func() { cancel(); <-served })
	return tn
}

// startWeightedCell starts a cell of processes with the given weights.
func startWeightedCell(t *testing.T, weights ...int) (*memoryStore, []*testNode) {
	t.Helper()
	store := newMemoryStore()
	if _, err := store.Commit(context.Background(), Commit{Puts: []Put{{Key: "op/config", Value: []byte{1}}}}); err != nil {
		t.Fatal(err)
	}
	var nodes []*testNode
	for _, weight := range weights {
		nodes = append(nodes, startNode(t, store, weight))
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

// TestLargerMachineTakesOver guards against a takeover by a machine that is too small for the load although a larger one is
// available: the first process to notice the loss won, and the small machine stopped answering under the load.
func TestLargerMachineTakesOver(t *testing.T) { inBubble(t, testLargerMachineTakesOver) }

func testLargerMachineTakesOver(t *testing.T) {
	for range 3 {
		_, nodes := startWeightedCell(t, 800, 800, 192, 192, 192, 192, 192, 192)
		eventually(t, 5*time.Second, "an owner on a large machine", func() bool {
			owners := ownersOf(nodes)
			return len(owners) == 1 && owners[0].opt.Weight == 800
		})
		owner := ownersOf(nodes)[0]
		owner.kill()
		var next []*testNode
		eventually(t, 5*time.Second, "a new owner", func() bool {
			next = ownersOf(others(nodes, owner))
			return len(next) > 0
		})
		if next[0].opt.Weight != 800 {
			t.Fatalf("a machine of weight %d took over", next[0].opt.Weight)
		}
		for _, n := range nodes {
			n.kill()
		}
	}
}

// TestSmallMachineTakesOverAlone guards against a cell without an owner when all larger machines have failed.
func TestSmallMachineTakesOverAlone(t *testing.T) { inBubble(t, testSmallMachineTakesOverAlone) }

func testSmallMachineTakesOverAlone(t *testing.T) {
	_, nodes := startWeightedCell(t, 800, 192, 192)
	eventually(t, 5*time.Second, "an owner on the large machine", func() bool { return nodes[0].ownership.Load() != nil })
	nodes[0].kill()
	eventually(t, 3*time.Second, "a new owner", func() bool { return len(ownersOf(nodes[1:])) == 1 })
}

// TestSmallMachineYieldsToLarger guards against ownership that stays on a small machine, which was the first to start,
// after larger ones have joined.
func TestSmallMachineYieldsToLarger(t *testing.T) { inBubble(t, testSmallMachineYieldsToLarger) }

func testSmallMachineYieldsToLarger(t *testing.T) {
	store, nodes := startWeightedCell(t, 192)
	eventually(t, 2*time.Second, "an owner", func() bool { return nodes[0].ownership.Load() != nil })
	larger := startNode(t, store, 800)
	eventually(t, 6*time.Second, "the large machine becomes the owner", func() bool {
		return larger.ownership.Load() != nil && nodes[0].ownership.Load() == nil
	})
	if got := submit(nodes[0], testSpec(1)); got != OutcomeStored {
		t.Errorf("job submitted to the small machine: %s", got)
	}
}

// TestRestartedCellDoesNotWaitForSilentSeeds guards against a takeover that waits for seeds that don't answer although the
// store already shows who the owner was: after all processes had been killed, the first one to restart waited for the
// machines of the others.
func TestRestartedCellDoesNotWaitForSilentSeeds(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	store, nodes := startCell(t, 1)
	nodes[0].kill()
	started := time.Now()
	next := startNode(t, store, testWeight, silent.Addr().String())
	eventually(t, 2*time.Second, "an owner", func() bool { return next.ownership.Load() != nil })
	if took := time.Since(started); took > pingTimeout {
		t.Errorf("the cell had an owner after %s, not within the ping timeout of a silent seed (%s)", took, pingTimeout)
	}
}

// TestDeadIncarnationsDoNotDelayCandidates guards against a best candidate that waits for processes that have ended: after
// all processes were killed, the store lists their old incarnations until their leases expire.
func TestDeadIncarnationsDoNotDelayCandidates(t *testing.T) {
	const machines = 9
	for round := range 20 {
		var live []*testNode
		var members []Member
		for i := range machines {
			address := fmt.Sprintf("10.0.0.%d:1", i)
			n := newTestNode(newMemoryStore(), address, testWeight)
			live = append(live, n)
			dead := n.self()
			dead.Incarnation = fmt.Sprintf("dead-%d-%d", round, i)
			members = append(members, n.self(), dead)
		}
		o := OwnerInfo{Term: 3, Incarnation: members[1].Incarnation, Address: members[1].Address}
		least := time.Hour
		for _, n := range live {
			n.view.setMembers(members)
			least = min(least, n.candidateDelay(o))
		}
		if least > 0 {
			t.Fatalf("round %d: the best candidate waits %s", round, least)
		}
	}
}

// spreadID returns job identifiers whose first digits are evenly distributed, like those of callers.
func spreadID(i int) string {
	return fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15)
}

// storeFinishedJobs writes the records of many short jobs that have ended and whose final states are still retained, and
// returns the largest number of them whose identifiers begin with the same digit.
func storeFinishedJobs(t *testing.T, store *memoryStore, jobs int) (largestPart int) {
	t.Helper()
	c := Commit{}
	parts := map[byte]int{}
	for i := range jobs {
		record := job.Record{Spec: job.Spec{ID: spreadID(i)}, Final: job.Done, Finished: time.Now().UnixMilli()}
		c.Puts = append(c.Puts, Put{Key: jobPrefix + record.ID, Value: record.Encode()})
		parts[record.ID[0]]++
		largestPart = max(largestPart, parts[record.ID[0]])
	}
	if _, err := store.Commit(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	return largestPart
}

// processorTime returns the processor time that the calling thread has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestLoadReadsInParallel guards against a takeover that reads the durable state one page after the other, waits between
// reads, or handles the records slowly. The time in a bubble advances only while everything waits, so it is that of
// the reads and pauses alone; the processor time is measured apart from it.
func TestLoadReadsInParallel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		const jobs = 2000
		store := newMemoryStore()
		store.delayPerItem = 500 * time.Microsecond // 1 s for all if read sequentially
		longestRead := time.Duration(storeFinishedJobs(t, store, jobs)) * store.delayPerItem
		o := newTestOwnership(newTestNode(store, "127.0.0.1:1", testWeight).Node)
		defer o.cancel()
		used := processorTime(t)
		for _, item := range store.items {
			if _, err := job.DecodeRecord(item.Value); err != nil {
				t.Fatal(err)
			}
		}
		decoding := processorTime(t) - used
		began, used := time.Now(), processorTime(t)
		if err := o.load(); err != nil {
			t.Fatal(err)
		}
		handling := processorTime(t) - used
		if took := time.Since(began); took > longestRead {
			t.Errorf("the reads took %s, the longest of them %s", took, longestRead)
		}
		// Decoding takes most of the time, so on slow machines the bound is relative to it.
		if handling > max(4*decoding, 200*time.Millisecond) {
			t.Errorf("%d records took %s of processor time, decoding them %s", jobs, handling, decoding)
		}
		if store.maxRanges != len(job.IDDigits) {
			t.Errorf("%d parts were read at the same time, want %d", store.maxRanges, len(job.IDDigits))
		}
		for _, digit := range job.IDDigits {
			if n := store.readCount(jobPrefix + string(digit)); n != 1 {
				t.Errorf("part %c was read %d times", digit, n)
			}
		}
	})
}

// TestSuccessorKnowsFinishedJobs guards against final states that are lost at a change of owner, of jobs that are read in
// parallel from a slow store.
func TestSuccessorKnowsFinishedJobs(t *testing.T) { inBubble(t, testSuccessorKnowsFinishedJobs) }

func testSuccessorKnowsFinishedJobs(t *testing.T) {
	store, nodes := startCell(t, 2)
	owner := ownersOf(nodes)[0]
	const jobs = 2000
	storeFinishedJobs(t, store, jobs)
	store.mu.Lock()
	store.delayPerItem = 500 * time.Microsecond
	store.mu.Unlock()
	successor := others(nodes, owner)[0]
	owner.kill()
	eventually(t, 10*time.Second, "a new owner has loaded the durable state", func() bool {
		o := successor.ownership.Load()
		return o != nil && o.hasLoaded()
	})
	for i := range jobs {
		if state, found := stateOf(t, successor, spreadID(i)); !found || state != job.Done {
			t.Fatalf("job %d: state %q, found %t", i, state, found)
		}
	}
}

// TestPingTimeoutOfSilentOwner guards against a loss that is noticed half a second late because another ping of an owner
// whose machine has lost power takes its full timeout (found in incident inc-bd31 of the deployment Sabra: 1.3 s from
// the loss to the claim).
func TestPingTimeoutOfSilentOwner(t *testing.T) {
	for silent, want := range map[time.Duration]time.Duration{
		0:                       pingTimeout,
		200 * time.Millisecond:  pingTimeout,
		500 * time.Millisecond:  ownerSilenceLimit - 500*time.Millisecond,
		700 * time.Millisecond:  minPingTimeout,
		2000 * time.Millisecond: minPingTimeout,
	} {
		if got := ownerPingTimeout(silent, ownerSilenceLimit); got != want {
			t.Errorf("ping timeout of an owner silent for %s: got %s, want %s", silent, got, want)
		}
	}
}

// TestOwnerFromStoreIsNotContact guards against a process that is ready only because the store names an owner, which may
// be dead or unreachable.
func TestOwnerFromStoreIsNotContact(t *testing.T) {
	n := newTestNode(newMemoryStore(), "10.0.0.1:1", testWeight)
	n.learnConfig([]byte{1}, fromRead)
	n.learnOwner(OwnerInfo{Term: 3, Rev: 30, Incarnation: "dead", Address: "10.0.0.2:1"}, "test")
	if n.Ready() {
		t.Error("ready without ever having received a reply of the owner")
	}
}

// TestPingsCarryMembersOnlyWhenRequested guards against ping replies that grow with the number of processes: with 43
// processes the owner sent 200 lists of 43 members a second that no process read.
func TestPingsCarryMembersOnlyWhenRequested(t *testing.T) {
	_, nodes := startCell(t, 3)
	owner := ownersOf(nodes)[0]
	caller := others(nodes, owner)[0]
	eventually(t, 2*time.Second, "the members are known from the store", func() bool { return !caller.needsMembers() })
	reply, err := caller.ping(context.Background(), owner.opt.Address, pingTimeout)
	if err != nil || len(reply.Members) > 0 {
		t.Errorf("%d members for a process that reads them from the store, error %v", len(reply.Members), err)
	}
	outsider := startWithoutCell(t)
	reply, err = outsider.ping(context.Background(), owner.opt.Address, pingTimeout)
	if err != nil || len(reply.Members) != len(nodes) {
		t.Errorf("%d members for a process that knows none, want %d, error %v", len(reply.Members), len(nodes), err)
	}
}
