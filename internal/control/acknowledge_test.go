package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// runnerRestartTime is how long a restarted runner is down, as in platform/standin.
const runnerRestartTime = 300 * time.Millisecond

// restartingRunners simulates runners that can restart under the same identifier. Each incarnation has one run end, whose
// number is 1.
type restartingRunners struct {
	*fakeRunners
	mu           sync.Mutex
	restarting   bool // each answer that lists an end is followed by a restart
	states       map[string]*restartingRunner
	answers      int // that list an end
	acknowledged int // ends that were acknowledged after they had been listed
	forgotten    int // ends that were acknowledged before they had been listed
}

type restartingRunner struct {
	incarnation int64
	upAt        time.Time
	listed      bool // the end was in an answer
	discarded   bool // the end was acknowledged
}

func newRestartingRunners() *restartingRunners {
	return &restartingRunners{fakeRunners: newFakeRunners(), states: map[string]*restartingRunner{}}
}

func (r *restartingRunner) restart() {
	*r = restartingRunner{incarnation: r.incarnation + 1, upAt: time.Now().Add(runnerRestartTime)}
}

// setRestarting makes the runners restart now and after each answer that lists an end, or ends that.
func (w *restartingRunners) setRestarting(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restarting = on
	for _, r := range w.states {
		if on {
			r.restart()
		}
	}
}

// counts returns how many answers have listed ends, and how many ends were acknowledged after and before they were listed.
func (w *restartingRunners) counts() (answers, acknowledged, forgotten int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answers, w.acknowledged, w.forgotten
}

// unacknowledged returns the number of runners whose end has not been acknowledged.
func (w *restartingRunners) unacknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, r := range w.states {
		if !r.discarded {
			count++
		}
	}
	return count
}

var errRunnerDown = errors.New("the runner is down")

func (w *restartingRunners) Poll(_ context.Context, ref scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.states[ref.ID]
	if r == nil {
		r = &restartingRunner{incarnation: 1}
		w.states[ref.ID] = r
	}
	if time.Now().Before(r.upAt) {
		return scheduler.Report{}, errRunnerDown
	}
	if req.Acknowledged > 0 && !r.discarded {
		r.discarded = true
		if r.listed {
			w.acknowledged++
		} else {
			w.forgotten++
		}
	}
	if r.discarded {
		incarnation := r.incarnation
		w.mu.Unlock()
		time.Sleep(min(req.Wait, 20*time.Millisecond))
		w.mu.Lock()
		if r.incarnation != incarnation {
			return scheduler.Report{}, errRunnerDown
		}
	}
	w.clock++
	rep := scheduler.Report{Runner: ref.ID, Addr: ref.Addr, Incarnation: r.incarnation, Clock: w.clock}
	if !r.discarded {
		task := job.TaskID{StepID: job.StepID{Job: spreadID(1)}} // of no job that the owner knows, so that no record is written
		rep.Ended = []scheduler.EndedRun{{Seq: 1, Task: task, Run: 1, Outcome: scheduler.EndDone}}
		r.listed = true
		w.answers++
		if w.restarting {
			r.restart()
		}
	}
	return rep, nil
}

// pausingClient is one process's client of shared runners. Calls wait as if the process, or its sockets, were paused.
type pausingClient struct {
	*restartingRunners
	beforeWrite atomic.Int64 // pause before a request with an acknowledgement is written, in nanoseconds
	afterAnswer atomic.Int64 // pause before an answer with run ends is read, in nanoseconds
	polls       atomic.Int64
}

func (c *pausingClient) Poll(ctx context.Context, ref scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	c.polls.Add(1)
	if req.Acknowledged > 0 {
		time.Sleep(time.Duration(c.beforeWrite.Load()))
	}
	if err := CheckSendDeadline(ctx); err != nil {
		return scheduler.Report{}, err
	}
	report, err := c.restartingRunners.Poll(ctx, ref, req)
	if len(report.Ended) > 0 {
		time.Sleep(time.Duration(c.afterAnswer.Load()))
	}
	return report, err
}

// TestAcknowledgementsReachTheirIncarnation guards against run ends that a runner forgets unread, so that their tasks run
// twice: an acknowledgement that was delayed by a pause of half a second reached the runner's next incarnation, whose ends
// have the same numbers (TestSoak, seed 1). The delayed acknowledgements are sent again once nothing is paused.
func TestAcknowledgementsReachTheirIncarnation(t *testing.T) {
	const (
		runners = 6
		pause   = 500 * time.Millisecond
	)
	for _, test := range []struct {
		name      string
		relayed   bool
		setPaused func(owner, relay *pausingClient, pause int64)
	}{
		{"not paused", false, func(*pausingClient, *pausingClient, int64) {}},
		{"not paused, relayed", true, func(*pausingClient, *pausingClient, int64) {}},
		{"relay paused before it sends", true, func(_, relay *pausingClient, pause int64) { relay.beforeWrite.Store(pause) }},
		{"answer waits at the relay", true, func(_, relay *pausingClient, pause int64) { relay.afterAnswer.Store(pause) }},
		{"owner paused before it sends", false, func(owner, _ *pausingClient, pause int64) { owner.beforeWrite.Store(pause) }},
		{"answer waits at the owner", false, func(owner, _ *pausingClient, pause int64) { owner.afterAnswer.Store(pause) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet, store := newRestartingRunners(), newMemoryStore()
			putValue(t, store, "op/config", "\x01")
			for i := range runners {
				putValue(t, store, fmt.Sprintf("servers/r%d", i), "ready")
			}
			descriptors := 0
			if test.relayed {
				descriptors = directRunnerShare
			}
			var nodes []*testNode
			clients := map[*testNode]*pausingClient{}
			for range 2 {
				client := &pausingClient{restartingRunners: fleet}
				deps := testDeps()
				deps.Runners, deps.Directory = client, fakeDirectory{}
				n := startNodeLimited(t, deps, store, descriptors)
				nodes = append(nodes, n)
				clients[n] = client
			}
			eventually(t, 5*time.Second, "the first ends are acknowledged", func() bool {
				_, acknowledged, _ := fleet.counts()
				return acknowledged == runners && len(ownersOf(nodes)) == 1
			})
			ownerNode := ownersOf(nodes)[0]
			owner, relay := clients[ownerNode], clients[others(nodes, ownerNode)[0]]
			if test.relayed {
				eventually(t, 5*time.Second, "polls are relayed", func() bool { return relay.polls.Load() > runners })
			}
			test.setPaused(owner, relay, int64(pause))
			fleet.setRestarting(true)
			time.Sleep(4 * time.Second)
			if answers, _, forgotten := fleet.counts(); forgotten > 0 || answers < 2*runners {
				t.Errorf("%d ends were forgotten unread, %d answers with ends", forgotten, answers)
			}
			test.setPaused(owner, relay, 0)
			fleet.setRestarting(false)
			eventually(t, 3*time.Second, "all ends are acknowledged", func() bool { return fleet.unacknowledged() == 0 })
			if _, _, forgotten := fleet.counts(); forgotten > 0 {
				t.Errorf("%d ends were forgotten unread", forgotten)
			}
		})
	}
}

// acknowledgementRecorder records the acknowledgements that are sent to runners.
type acknowledgementRecorder struct {
	*fakeRunners
	sent []int64
}

func (r *acknowledgementRecorder) Poll(ctx context.Context, ref scheduler.RunnerRef, req PollRequest) (scheduler.Report, error) {
	r.sent = append(r.sent, req.Acknowledged)
	return r.fakeRunners.Poll(ctx, ref, req)
}

// TestRelayDropsStaleAcknowledgements guards against an acknowledgement that waited in the connection of a paused relay, or
// whose limit is on the clock of another process. The poll itself is made, so that nothing waits for a repetition.
func TestRelayDropsStaleAcknowledgements(t *testing.T) {
	runners := &acknowledgementRecorder{fakeRunners: newFakeRunners()}
	deps := testDeps()
	deps.Runners = runners
	n := newTestNodeWith(deps, newMemoryStore(), "127.0.0.1:1", testWeight)
	relay := func(limit AcknowledgeLimit) RelayReply {
		args := RelayArgs{
			Runner: scheduler.RunnerRef{ID: "r", Addr: "r:1"}, Within: time.Second, Poll: &PollRequest{Acknowledged: 7}, Limit: limit,
		}
		var reply RelayReply
		if err := (&Peer{n.Node}).Relay(args, &reply); err != nil || reply.Error != "" {
			t.Fatalf("limit %+v: %+v, %v", limit, reply, err)
		}
		return reply
	}
	fresh := relay(AcknowledgeLimit{}).Limit // of an owner of an earlier build, which sends no limit
	if left := fresh.By - n.clock.Now(); fresh.Process != n.incarnation || left > acknowledgeWindow || left < acknowledgeWindow/2 {
		t.Errorf("limit %+v, %s left", fresh, left)
	}
	for _, test := range []struct {
		limit AcknowledgeLimit
		want  int64
	}{
		{fresh, 7},
		{AcknowledgeLimit{Process: n.incarnation, By: n.clock.Now() - 300*time.Millisecond}, 0}, // paused for half a second
		{AcknowledgeLimit{Process: "another", By: fresh.By + time.Hour}, 0},
	} {
		runners.sent = nil
		relay(test.limit)
		if len(runners.sent) != 1 || runners.sent[0] != test.want {
			t.Errorf("limit %+v: acknowledged %d, want %d", test.limit, runners.sent, test.want)
		}
	}
}

// TestUnacknowledgedEndsArePolledSlowly guards against a runner that is polled without a pause because its ends can't be
// acknowledged: it answers at once for as long as it lists ends. It guards as well against a pause after each answer, which
// would make every acknowledgement stale.
func TestUnacknowledgedEndsArePolledSlowly(t *testing.T) {
	n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
	o := newTestOwnership(n.Node)
	defer o.cancel()
	o.sched.RunnerListed(scheduler.RunnerInfo{ID: "r", Addr: "r:1", Service: "s"})
	task := job.TaskID{StepID: job.StepID{Job: spreadID(1)}}
	reply := RelayReply{Report: scheduler.Report{
		Runner: "r", Addr: "r:1", Incarnation: 1, Clock: 1, Ended: []scheduler.EndedRun{{Seq: 1, Task: task, Run: 1, Outcome: scheduler.EndDone}},
	}}
	o.sched.Report(reply.Report)
	st := &pollState{ref: scheduler.RunnerRef{ID: "r", Addr: "r:1"}, answered: true}
	st.record(&reply)
	if got := o.poller.acknowledgeable(st); got != 0 {
		t.Errorf("acknowledged %d through a process that observes no limits", got)
	}
	if got := o.poller.pause(st, 0, false); got != unacknowledgedPollPause {
		t.Errorf("ends that can't be acknowledged: pause %s", got)
	}
	reply.Limit = AcknowledgeLimit{Process: n.incarnation, By: o.loopTime - time.Millisecond}
	st.record(&reply)
	if !o.poller.stale(st) {
		t.Error("an answer whose limit has passed is not stale")
	}
	reply.Limit.By = o.loopTime + time.Millisecond
	st.record(&reply)
	if o.poller.stale(st) {
		t.Error("an answer whose limit has not passed is stale")
	}
	for i, step := range []struct {
		sent int64 // acknowledged by the poll
		want time.Duration
	}{
		{0, 0}, // the first answer is acknowledged at once
		{1, 0}, // dropped on the way, sent again at once
		{1, unacknowledgedPollPause},
		{1, 0},
		{1, unacknowledgedPollPause},
		{0, 0},
	} {
		if got := o.poller.pause(st, step.sent, false); got != step.want {
			t.Errorf("poll %d: pause %s, want %s", i, got, step.want)
		}
	}
	reply.Report.Incarnation = 2 // the scheduler hasn't seen this incarnation
	st.record(&reply)
	if got := o.poller.acknowledgeable(st); got != 0 {
		t.Errorf("acknowledged %d of another incarnation", got)
	}
}

// TestTimeoutAfterOverloadBlamesNobody guards against a runner that is blamed for a poll that reached it late, while this
// process was overloaded, so that the runner's wait outlasted the time-out. A long silence counts in any case.
func TestTimeoutAfterOverloadBlamesNobody(t *testing.T) {
	n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
	o := newTestOwnership(n.Node)
	defer o.cancel()
	o.overloadedAt = o.loopTime - time.Second
	for _, test := range []struct {
		sent, answered time.Duration // before now
		want           bool
	}{
		{2 * time.Second, 3 * time.Second, true},
		{500 * time.Millisecond, 3 * time.Second, false},
		{2 * time.Second, 5 * time.Second, false},
	} {
		st := &pollState{answeredAt: o.loopTime - test.answered}
		if got := o.poller.maySucceed(st, o.loopTime-test.sent); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}
