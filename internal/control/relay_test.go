package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// countingRunners is one process's client of shared runners.
type countingRunners struct {
	*fakeRunners
	calls    atomic.Int64
	noSocket atomic.Bool // every call fails for want of a file descriptor
}

func (c *countingRunners) call() error {
	c.calls.Add(1)
	if c.noSocket.Load() {
		return os.NewSyscallError("socket", syscall.EMFILE)
	}
	return nil
}

func (c *countingRunners) Start(ctx context.Context, r scheduler.RunnerRef, req StartRequest) (scheduler.StartOutcome, error) {
	if err := c.call(); err != nil {
		return scheduler.StartNotSent, err
	}
	return c.fakeRunners.Start(ctx, r, req)
}

func (c *countingRunners) Stop(ctx context.Context, r scheduler.RunnerRef, req StopRequest) error {
	if err := c.call(); err != nil {
		return err
	}
	return c.fakeRunners.Stop(ctx, r, req)
}

func (c *countingRunners) Poll(ctx context.Context, r scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	if err := c.call(); err != nil {
		return scheduler.Report{}, err
	}
	return c.fakeRunners.Poll(ctx, r, req)
}

// relayCell is a cell with more runners than its owner calls directly.
type relayCell struct {
	*testing.T
	store   *memoryStore
	nodes   []*testNode
	clients map[*testNode]*countingRunners
	log     *recordingLog
	jobs    int
}

const relayCellRunners = 12

func newRelayCell(t *testing.T, size, descriptors int) *relayCell {
	t.Helper()
	c := &relayCell{T: t, store: newMemoryStore(), clients: map[*testNode]*countingRunners{}, log: &recordingLog{}}
	puts := []Put{{Key: "op/config", Value: []byte{1}}}
	for i := range relayCellRunners {
		puts = append(puts, Put{Key: fmt.Sprintf("servers/r%02d", i), Value: []byte("ready")})
	}
	if _, err := c.store.Commit(context.Background(), Commit{Puts: puts}); err != nil {
		t.Fatal(err)
	}
	shared := newFakeRunners()
	for range size {
		client := &countingRunners{fakeRunners: shared}
		deps := testDeps()
		deps.Log, deps.Runners, deps.Advisor, deps.Directory = c.log, client, allEligibleAdvisor{}, fakeDirectory{}
		n := startNodeLimited(t, deps, c.store, descriptors)
		c.nodes = append(c.nodes, n)
		c.clients[n] = client
	}
	eventually(t, 5*time.Second, "an owner that runs jobs", func() bool { return len(ownersOf(c.nodes)) == 1 && c.runJob() })
	return c
}

// runJob submits a job and reports whether it is done soon.
func (c *relayCell) runJob() bool {
	c.jobs++
	spec := testSpec(c.jobs)
	if submit(c.nodes[0], spec) != OutcomeStored {
		return false
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if state, _ := stateOf(c.T, c.nodes[0], spec.ID); state == job.Done {
			return true
		}
	}
	return false
}

// blamed returns the runners that the owner has taken for silent or quarantined.
func (c *relayCell) blamed() []string {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	var out []string
	for _, line := range c.log.lines {
		if change := line.fields["change"]; line.event == "runner" && (change == "silent" || change == "quarantined") {
			out = append(out, fmt.Sprint(line.fields["runner"], " ", change, " ", line.fields["detail"]))
		}
	}
	return out
}

// TestManyRunnersAreRelayed guards against an owner whose connections grow with the number of runners (pattern: hundreds
// of VMs), and against relayed calls in a small cell.
func TestManyRunnersAreRelayed(t *testing.T) {
	for _, test := range []struct {
		descriptors int
		relayed     bool
	}{
		{descriptors: directRunnerShare * relayCellRunners, relayed: false},
		{descriptors: directRunnerShare * (relayCellRunners - 1), relayed: true},
	} {
		c := newRelayCell(t, 4, test.descriptors)
		owner := ownersOf(c.nodes)[0]
		time.Sleep(time.Second) // polls on the old way end
		before := map[*testNode]int64{}
		for _, n := range c.nodes {
			before[n] = c.clients[n].calls.Load()
		}
		for range 5 {
			if !c.runJob() {
				t.Fatalf("%d descriptors: a job is not done", test.descriptors)
			}
		}
		direct, relayed := int64(0), int64(0)
		for _, n := range c.nodes {
			calls := c.clients[n].calls.Load() - before[n]
			if n == owner {
				direct = calls
			} else {
				relayed += calls
			}
		}
		if (direct == 0) != test.relayed || (relayed > 0) != test.relayed {
			t.Errorf("%d descriptors: %d direct and %d relayed calls", test.descriptors, direct, relayed)
		}
	}
}

// TestLostRelays takes the descriptors of one relaying process and kills another. It guards against runners that are
// blamed for it, and jobs that wait for it.
func TestLostRelays(t *testing.T) {
	c := newRelayCell(t, 5, directRunnerShare)
	owner := ownersOf(c.nodes)[0]
	relays := others(c.nodes, owner)
	if owner != c.nodes[0] {
		relays = others(relays, c.nodes[0]) // the process that takes the jobs stays
	}
	c.clients[relays[0]].noSocket.Store(true)
	for range 5 {
		if !c.runJob() {
			t.Fatal("a job is not done beside a relay without descriptors")
		}
	}
	relays[1].kill()
	for range 5 {
		if !c.runJob() {
			t.Fatal("a job is not done beside a relay that was killed")
		}
	}
	if got := c.blamed(); len(got) > 0 {
		t.Errorf("blamed: %q", got)
	}
	if got := ownersOf(c.nodes); len(got) != 1 || got[0] != owner {
		t.Error("the owner has changed")
	}
}

// TestRelayOfReplacedOwner guards against a relayed call of an owner that has been replaced.
func TestRelayOfReplacedOwner(t *testing.T) {
	c := newRelayCell(t, 3, directRunnerShare)
	owner := ownersOf(c.nodes)[0]
	other := others(c.nodes, owner)[0]
	var reply RelayReply
	args := RelayArgs{Runner: scheduler.RunnerRef{ID: "r00", Addr: "r00:1"}, Fence: owner.ownership.Load().info.Rev - 1, Within: time.Second, Poll: &PollRequest{}}
	if err := (&Peer{other.Node}).Relay(args, &reply); err != nil || !reply.Fenced {
		t.Errorf("call of a replaced owner: %+v, %v", reply, err)
	}
}

// TestOwnerWithoutDescriptors guards against sound runners that are blamed, and a store that is taken for lost, because
// the owner itself has no free file descriptor.
func TestOwnerWithoutDescriptors(t *testing.T) {
	c := newRelayCell(t, 3, 0)
	owner := ownersOf(c.nodes)[0]
	c.clients[owner].noSocket.Store(true)
	c.jobs++
	spec := testSpec(c.jobs)
	if got := submit(c.nodes[0], spec); got != OutcomeStored {
		t.Fatalf("submission: %s", got)
	}
	time.Sleep(time.Second)
	owner.recordStoreCall("get", fmt.Errorf("dial: %w", os.NewSyscallError("socket", syscall.EMFILE)))
	owner.recordStoreCall("range", fmt.Errorf("range: %w", context.Canceled)) // an ownership that has ended
	if failing := owner.health.failingFor(owner.clock.Now()); failing > 0 {
		t.Errorf("the store counts as failing for %s", failing)
	}
	if got := c.blamed(); len(got) > 0 {
		t.Errorf("blamed: %q", got)
	}
	c.clients[owner].noSocket.Store(false)
	eventually(t, time.Second, "the job is done", func() bool { state, _ := stateOf(t, c.nodes[0], spec.ID); return state == job.Done })
}

// TestLocalFailures guards against failures of this process that are taken for those of a runner, a peer or the store, and
// the reverse.
func TestLocalFailures(t *testing.T) {
	for _, test := range []struct {
		err   error
		local bool
	}{
		{nil, false},
		{os.NewSyscallError("socket", syscall.EMFILE), true},
		{fmt.Errorf("dial: %w", os.NewSyscallError("socket", syscall.ENFILE)), true},
		{os.NewSyscallError("connect", syscall.EADDRNOTAVAIL), true},
		{errors.Join(errPaused, context.DeadlineExceeded), true},
		{os.NewSyscallError("connect", syscall.ECONNREFUSED), false},
		{os.NewSyscallError("read", syscall.ECONNRESET), false},
		{os.NewSyscallError("connect", syscall.ETIMEDOUT), false},
		{context.DeadlineExceeded, false},
		{ErrNotApplied, false},
		{errRelay, false},
	} {
		if got := LocalFailure(test.err); got != test.local {
			t.Errorf("%v: local %v, want %v", test.err, got, test.local)
		}
	}
}

// TestPausedRelay guards against a relayed acknowledgement that waited in the connection of a paused process: the runner
// may have started again under its identifier meanwhile, and would forget ends that no one has read.
func TestPausedRelay(t *testing.T) {
	var d pauseDetector
	for _, step := range []struct {
		at    time.Duration
		stale bool
	}{
		{time.Second, false},
		{time.Second + minPause, false},
		{4 * time.Second, true}, // paused for more than two seconds
		{4*time.Second + staleAfterPause/2, true},
		{4*time.Second + staleAfterPause, false},
	} {
		if got := d.check(step.at); got != step.stale {
			t.Errorf("at %s: stale %v, want %v", step.at, got, step.stale)
		}
	}
	c := newRelayCell(t, 3, directRunnerShare)
	owner := ownersOf(c.nodes)[0]
	paused := others(c.nodes, owner)[0]
	paused.pauses.mu.Lock()
	paused.pauses.staleUntil = paused.clock.Now() + staleAfterPause
	paused.pauses.mu.Unlock()
	before := c.clients[paused].calls.Load()
	var reply RelayReply
	args := RelayArgs{Runner: scheduler.RunnerRef{ID: "r00", Addr: "r00:1"}, Fence: owner.ownership.Load().info.Rev, Within: time.Second, Start: &StartRequest{}}
	if err := (&Peer{paused.Node}).Relay(args, &reply); err != nil || !reply.Local || reply.Outcome != scheduler.StartNotSent {
		t.Errorf("call after a pause: %+v, %v", reply, err)
	}
	if !c.runJob() {
		t.Error("a job is not done beside a relay that was paused")
	}
	if calls := c.clients[paused].calls.Load(); calls > before+relayCellRunners { // those in flight before
		t.Errorf("the paused process has made %d calls", calls-before)
	}
	if got := c.blamed(); len(got) > 0 {
		t.Errorf("blamed: %q", got)
	}
}

// TestPingWithoutDescriptors guards against a process that takes the owner for lost, and votes so, because it has no free
// file descriptor for its own ping.
func TestPingWithoutDescriptors(t *testing.T) {
	n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
	o := OwnerInfo{Term: 1, Rev: 1, Incarnation: "owner", Address: "127.0.0.1:2"}
	n.view.setOwner(o, n.clock.Now()-time.Minute)
	n.peers.get(o.Address).dial = func(context.Context) (net.Conn, error) {
		return nil, os.NewSyscallError("socket", syscall.EMFILE)
	}
	if got := n.pingOwner(context.Background(), o); got != ownerHealthy {
		t.Errorf("verdict %s", verdictNames[got])
	}
	if _, suspect := n.view.ownerSilentFor(n.clock.Now()); suspect {
		t.Error("the owner is suspected")
	}
}
