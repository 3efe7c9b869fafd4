package control

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/scheduler"
	"github.com/agateyard/agateyard/internal/tenant"
)

// pollCounter counts polls that renew leases or acknowledge ends.
type pollCounter struct {
	*fakeRunners
	mu    sync.Mutex
	polls int
}

func (c *pollCounter) Poll(ctx context.Context, r scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	c.mu.Lock()
	if req.LeaseEnd > 0 || req.Acknowledged > 0 {
		c.polls++
	}
	c.mu.Unlock()
	return c.fakeRunners.Poll(ctx, r, req)
}

func (c *pollCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.polls
}

// TestNoLeaseIsRenewedWhileTheClaimIsUnconfirmed guards against an owner that was paused, and replaced meanwhile, and
// renews the leases of runs on runners that its successor can't reach: the successor counts on their expiry.
func TestNoLeaseIsRenewedWhileTheClaimIsUnconfirmed(t *testing.T) {
	inBubble(t, testNoLeaseIsRenewedWhileTheClaimIsUnconfirmed)
}

func testNoLeaseIsRenewedWhileTheClaimIsUnconfirmed(t *testing.T) {
	runners := &pollCounter{fakeRunners: newFakeRunners()}
	deps := testDeps()
	deps.Runners, deps.Advisor, deps.Directory = runners, allEligibleAdvisor{}, fakeDirectory{}
	store := newMemoryStore()
	putValue(t, store, "op/config", "\x01")
	putValue(t, store, "servers/a", "ready")
	node := startNodeWith(t, deps, store, testWeight)
	eventually(t, 5*time.Second, "leases are renewed", func() bool { return runners.count() > 3 })
	node.store.setPartitioned(true) // the claim can't be read
	o := node.ownership.Load()
	o.post(func() { o.recheckClaim(0) })
	time.Sleep(100 * time.Millisecond) // polls in flight end
	before := runners.count()
	time.Sleep(500 * time.Millisecond)
	if got := runners.count(); got > before {
		t.Errorf("%d leases were renewed while the claim was unconfirmed", got-before)
	}
	node.store.setPartitioned(false)
	eventually(t, 2*time.Second, "leases are renewed again", func() bool { return runners.count() > before })
}

// TestPauseWhileEventsAreProcessed guards against an owner that sends starts and stops decided before a pause that falls
// between the check of the clock and the sending.
func TestPauseWhileEventsAreProcessed(t *testing.T) {
	store := newMemoryStore()
	n := newTestNode(store, "127.0.0.1:1", testWeight)
	o := newTestOwnership(n.Node)
	defer o.cancel()
	o.processEvents(func() {})
	if o.paused {
		t.Fatal("paused without a pause")
	}
	o.processEvents(func() { time.Sleep(maxLoopPause + 100*time.Millisecond) })
	if !o.paused {
		t.Error("the claim is not read again after a pause during the processing")
	}
}

// TestOwnerWithStalledWatchNoticesItsSuccessor guards against an owner that goes on renewing leases, without limit, because
// neither the watch of the claim nor the announcement of its successor reaches it while its other store calls succeed.
func TestOwnerWithStalledWatchNoticesItsSuccessor(t *testing.T) {
	inBubble(t, testOwnerWithStalledWatchNoticesItsSuccessor)
}

func testOwnerWithStalledWatchNoticesItsSuccessor(t *testing.T) {
	_, nodes := startCell(t, 1)
	old := nodes[0].ownership.Load()
	nodes[0].store.stallWatches()
	time.Sleep(200 * time.Millisecond) // watches in flight end
	putValue(t, nodes[0].store.memoryStore, ownerKey, `{"Term":7,"Incarnation":"successor","Address":"127.0.0.1:1"}`)
	select {
	case <-old.ended:
	case <-time.After(OwnerLease):
		t.Error("the replaced owner has not noticed it within the time that its successor counts on")
	}
}

// TestPausedOwnerRefusesNothing guards against a refusal, which says that the job was never stored, by an owner that may
// have been replaced: its successor may have stored the job.
func TestPausedOwnerRefusesNothing(t *testing.T) {
	_, nodes := startCell(t, 1)
	n := nodes[0]
	n.store.setPartitioned(true)
	o := n.ownership.Load()
	paused := make(chan struct{})
	o.post(func() { o.recheckClaim(0); close(paused) })
	<-paused
	eventually(t, 2*time.Second, "the store counts as lost", func() bool { return n.health.failingFor(n.clock.Now()) > 2*refuseSubmissionsAfter })
	got := o.submit(context.Background(), SubmitArgs{Spec: testSpec(1), Within: 200 * time.Millisecond})
	if got.Outcome != OutcomeUnknown {
		t.Errorf("submission to an owner whose claim is unconfirmed: %s", got.Outcome)
	}
	if got := o.cancelJob(context.Background(), JobArgs{ID: spreadID(1), Within: 200 * time.Millisecond}); got != OutcomeUnknown {
		t.Errorf("cancellation of a job that a successor may have stored: %s", got)
	}
}

// TestPausedOwnerRefusesNoTenant guards against a refusal for a tenant's limits, which says as well that the job never runs,
// by an owner that may have been replaced: its successor may have stored the job.
func TestPausedOwnerRefusesNoTenant(t *testing.T) {
	_, nodes := startCell(t, 1)
	n := nodes[0]
	o := n.ownership.Load()
	spec := testSpec(1)
	spec.Steps[0].Need = model.Resources{CoresMilli: 1000}
	args := SubmitArgs{
		Spec: spec, Caller: Caller{Tenant: "a", ConfigVersion: math.MaxInt64}, Within: 200 * time.Millisecond,
	}
	limited := make(chan struct{})
	o.post(func() {
		o.sched.SetTenants(math.MaxInt64, []tenant.Tenant{{Name: "a", Weight: 1, Cap: model.Resources{CoresMilli: 1}}})
		close(limited)
	})
	<-limited
	if got := o.submit(context.Background(), args).Outcome; got != OutcomeOverLimit {
		t.Fatalf("submission to a confirmed owner: %s, want a refusal", got)
	}
	n.store.setPartitioned(true)
	paused := make(chan struct{})
	o.post(func() { o.recheckClaim(0); close(paused) })
	<-paused
	if got := o.submit(context.Background(), args).Outcome; got != OutcomeUnknown {
		t.Errorf("submission to an owner whose claim is unconfirmed: %s", got)
	}
}

// TestTicketsAgeWhileTheirAnswerWaits guards against tickets that count as valid from when a paused owner reads them.
func TestTicketsAgeWhileTheirAnswerWaits(t *testing.T) {
	const valid, limit = 1500 * time.Millisecond, time.Second
	for _, test := range []struct{ sent, answered, now, want time.Duration }{
		{0, 800 * time.Millisecond, 800 * time.Millisecond, valid},
		{0, 800 * time.Millisecond, 1300 * time.Millisecond, valid - 500*time.Millisecond}, // in the queue of the event loop
		{0, 3 * time.Second, 3 * time.Second, 0},                                           // paused during the call
		{0, 1200 * time.Millisecond, 1300 * time.Millisecond, valid - 300*time.Millisecond},
	} {
		if got := remainingValidity(valid, limit, test.sent, test.answered, test.now); got != test.want {
			t.Errorf("%+v: %s", test, got)
		}
	}
}

// TestLateAcknowledgementIsNotRelayed guards against an acknowledgement that the owner prepared before a pause and sends
// through a relay after it: the runner may have started again under its identifier.
func TestLateAcknowledgementIsNotRelayed(t *testing.T) {
	n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
	client, server := net.Pipe()
	defer server.Close()
	n.peers.get("relay").dial = func(context.Context) (net.Conn, error) { return client, nil }
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	args := RelayArgs{Poll: &PollRequest{Acknowledged: 7}, preparedAt: n.clock.Now() - 2*time.Second}
	err := call(ctx, n.peers.get("relay"), "Relay", args, &RelayReply{})
	if !errors.Is(err, errPaused) || !LocalFailure(err) {
		t.Errorf("error %v", err)
	}
}
