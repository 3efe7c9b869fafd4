package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// fencingRunners refuse requests of replaced owners, as real ones do, and count the starts of each task.
type fencingRunners struct {
	*fakeRunners
	mu     sync.Mutex
	fences map[string]int64
	starts map[job.TaskID]int
}

func (f *fencingRunners) check(id string, fence int64) error {
	if fence < f.fences[id] {
		return ErrFenced
	}
	f.fences[id] = fence
	return nil
}

func (f *fencingRunners) Start(ctx context.Context, r scheduler.RunnerRef, req StartRequest) (scheduler.StartOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.check(r.ID, req.Fence); err != nil {
		return scheduler.StartRefused, err
	}
	f.starts[req.Task]++
	return f.fakeRunners.Start(ctx, r, req)
}

func (f *fencingRunners) Poll(ctx context.Context, r scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	f.mu.Lock()
	err := f.check(r.ID, req.Fence)
	f.mu.Unlock()
	if err != nil {
		return scheduler.Report{}, err
	}
	return f.fakeRunners.Poll(ctx, r, req)
}

// TestHandoverStartsNothingTwice guards against tasks that both the old and the new owner start around a hand-over, and
// against callers that are told otherwise.
func TestHandoverStartsNothingTwice(t *testing.T) { inBubble(t, testHandoverStartsNothingTwice) }

func testHandoverStartsNothingTwice(t *testing.T) {
	runners := &fencingRunners{fakeRunners: newFakeRunners(), fences: map[string]int64{}, starts: map[job.TaskID]int{}}
	deps := testDeps()
	deps.Runners, deps.Advisor, deps.Directory = runners, allEligibleAdvisor{}, fakeDirectory{}
	store := newMemoryStore()
	putValue(t, store, "op/config", "\x01")
	for _, id := range []string{"a", "b", "c"} {
		putValue(t, store, "servers/"+id, "ready")
	}
	var nodes []*testNode
	for range 3 {
		nodes = append(nodes, startNodeWith(t, deps, store, testWeight))
	}
	eventually(t, 5*time.Second, "an owner that accepts jobs", func() bool {
		return len(ownersOf(nodes)) == 1 && submit(nodes[0], testSpec(0)) == OutcomeStored
	})
	const jobs, handovers = 240, 4
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		for range handovers {
			time.Sleep(500 * time.Millisecond)
			for _, owner := range ownersOf(nodes) {
				owner.handOver(context.Background(), owner.ownership.Load(), owner.view.memberList())
			}
		}
	}()
	for i := 1; i < jobs; i++ {
		if got := submit(nodes[i%3], testSpec(i)); got != OutcomeStored {
			t.Errorf("job %d: %s", i, got)
		}
		time.Sleep(10 * time.Millisecond)
	}
	<-handedOver
	eventually(t, 15*time.Second, "all jobs are done", func() bool {
		for i := range jobs {
			if state, _ := stateOf(t, nodes[0], testSpec(i).ID); state != job.Done {
				return false
			}
		}
		return true
	})
	if o, _ := nodes[0].view.currentOwner(); o.Term <= handovers {
		t.Errorf("the term is %d after %d hand-overs", o.Term, handovers)
	}
	runners.mu.Lock()
	defer runners.mu.Unlock()
	for task, starts := range runners.starts {
		if starts != 1 {
			t.Errorf("%s was started %d times", task, starts)
		}
	}
}

// TestLeavingEndsInTime guards against a process that is to stop and uses up its grace period by asking one member after the other
// to take over, of which none answers, so that it is killed with requests in flight.
func TestLeavingEndsInTime(t *testing.T) { inBubble(t, testLeavingEndsInTime) }

func testLeavingEndsInTime(t *testing.T) {
	const limit = 3600 * time.Millisecond
	_, nodes := startCell(t, 1)
	for i := range 40 {
		address := fmt.Sprintf("10.9.0.%d:1", i)
		nodes[0].view.setMember(Member{Incarnation: address, Address: address, Weight: testWeight})
		nodes[0].peers.get(address).dial = func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	started := time.Now()
	nodes[0].Leave(ctx)
	if took := time.Since(started); took > limit {
		t.Errorf("leaving took %s", took)
	}
}

// TestHandoverAsksOnlyWhoMayTakeOver guards against a process that is to stop and asks members that are about to stop as well,
// or that asks on after its ownership has ended: 33 calls within 2 s, each to a member with a narrow link (incident LOST).
func TestHandoverAsksOnlyWhoMayTakeOver(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		log := &recordingLog{}
		deps := testDeps()
		deps.Log = log
		store := newMemoryStore()
		putValue(t, store, "op/config", "\x01")
		var nodes []*testNode
		for range 4 {
			nodes = append(nodes, startNodeWith(t, deps, store, testWeight))
		}
		eventually(t, 5*time.Second, "an owner that is known to all", func() bool {
			owners := ownersOf(nodes)
			return len(owners) == 1 && len(owners[0].view.memberList()) == len(nodes) && pingedBy(owners[0].ownership.Load()) == len(nodes)-1
		})
		owner := ownersOf(nodes)[0]
		local := owner.ownership.Load()
		rest := others(nodes, owner)
		for _, n := range rest[1:] {
			n.leaving.Store(true)
		}
		time.Sleep(2 * pingInterval)
		owner.Leave(context.Background())
		if asked := log.linesOf("handover"); asked != 1 || rest[0].ownership.Load() == nil {
			t.Errorf("%d members were asked to take over, want only the one that stays", asked)
		}
		<-local.ended
		owner.handOver(context.Background(), local, owner.view.memberList())
		if asked := log.linesOf("handover"); asked != 1 {
			t.Errorf("%d members were asked after the ownership had ended", asked-1)
		}
	})
}

// pingedBy returns how many processes have pinged an owner.
func pingedBy(o *ownership) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.lastPings)
}

// TestLeavingProcessVotesForLiveOwner guards against processes that are about to stop and vote against an owner that answers:
// they pinged it no more, and took their own silence for its loss (incident LOST).
func TestLeavingProcessVotesForLiveOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		_, nodes := startCell(t, 3)
		owner := ownersOf(nodes)[0]
		info, _ := owner.view.currentOwner()
		for _, n := range others(nodes, owner) {
			n.leaving.Store(true)
			time.Sleep(2 * ownerSilenceLimit)
			if n.ownerIsLost(context.Background(), info.Term) {
				t.Error("a process that is about to stop has lost an owner that answers")
			}
		}
		for _, n := range others(nodes, owner) {
			if !owner.ownership.Load().isLeaving(n.incarnation) {
				t.Error("the owner doesn't know that a member is about to stop")
			}
		}
	})
}
