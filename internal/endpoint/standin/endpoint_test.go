package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
)

// rig is an endpoint with a client.
type rig struct {
	*testing.T
	e   *Endpoint
	c   *endpoint.HTTPClient
	ctx context.Context
}

func newRig(t *testing.T, cfg Config) *rig {
	t.Helper()
	e, err := Listen("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	c := endpoint.NewHTTPClient(e.Address(), endpoint.DefaultOptions())
	t.Cleanup(func() { cancel(); c.Close(); e.Close() })
	return &rig{t, e, c, ctx}
}

func runnerRig(t *testing.T) *rig {
	cfg := RunnerConfig("runner-1", "z1", "orders")
	cfg.LeaseTTL = 300 * time.Millisecond
	return newRig(t, cfg)
}

func workerRig(t *testing.T) *rig {
	cfg := WorkerConfig("worker-1", "z1", "r1", model.Resources{CoresMilli: 4000, MemoryMB: 1000, Accelerators: 1})
	cfg.UsageLag = 100 * time.Millisecond
	return newRig(t, cfg)
}

func (r *rig) session(token uint64) endpoint.SessionReply {
	r.Helper()
	reply, err := r.c.Session(r.ctx, endpoint.SessionRequest{Token: token, Owner: fmt.Sprint("owner-", token)})
	if err != nil {
		r.Fatal(err)
	}
	return reply
}

// request returns a start with the token that runs for the time.
func (r *rig) request(n int, token uint64, runMS int64) endpoint.StartRequest {
	key := model.RequestKey{Template: model.TemplateID{Workspace: "kalnins", Name: "cut-list"}, ID: fmt.Sprint(n)}
	body, _ := json.Marshal(Work{Echo: fmt.Sprint("echo-", n), RunMS: runMS, AnswerBytes: 3000})
	return endpoint.StartRequest{
		Attempt: model.NewAttemptID(key, 0, uint64(n)), Token: token, StartBeforeMS: 30_000,
		Template: "kalnins/cut-list", Body: body,
	}
}

func (r *rig) want(err, want error) {
	r.Helper()
	if !errors.Is(err, want) {
		r.Errorf("got %v, want %v", err, want)
	}
}

// wantEvents checks the effect log of an attempt, as "start effect end:done".
func (r *rig) wantEvents(id model.AttemptID, want string) {
	r.Helper()
	var got []string
	for _, e := range r.e.Effects().Effects {
		if e.Attempt == id {
			got = append(got, strings.TrimSuffix(string(e.Event)+":"+string(e.Reason), ":"))
		}
	}
	if s := strings.Join(got, " "); s != want {
		r.Errorf("effect log of %s: %q, want %q", id, s, want)
	}
}

func (r *rig) waitFor(what string, ok func() bool) {
	r.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.Fatalf("timeout: %s", what)
		}
	}
}

// Guards against mixed up answers under concurrency, and answers without an effect.
func TestAnswersMatchRequests(t *testing.T) {
	r := runnerRig(t)
	r.session(1)
	var wg sync.WaitGroup
	for lane := range RunnerSlots {
		wg.Go(func() {
			for i := range 20 {
				req := r.request(lane*100+i, 1, int64(i%5))
				reply, err := r.c.Start(r.ctx, req)
				if err != nil {
					t.Error(err)
					return
				}
				b, err := ParseAnswer(reply.Answer.Body)
				if err != nil || b.Attempt != req.Attempt || b.Echo != fmt.Sprint("echo-", lane*100+i) || len(b.Filler) != 3000 {
					t.Errorf("answer to %s: %s %s %v", req.Attempt, b.Attempt, b.Echo, err)
				}
				r.wantEvents(req.Attempt, "start effect end:done")
			}
		})
	}
	for range 10 {
		r.session(1)
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
}

// Guards against an owner that was replaced going on, against starts that
// arrive twice or too late, and against commands before the session.
func TestFencing(t *testing.T) {
	r := runnerRig(t)
	_, err := r.c.Start(r.ctx, r.request(1, 1, 0))
	r.want(err, endpoint.ErrNoLease)
	first := r.session(1)
	_, err = r.c.Start(r.ctx, r.request(1, 1, 0))
	r.want(err, nil)
	_, err = r.c.Start(r.ctx, r.request(1, 1, 0))
	r.want(err, endpoint.ErrRepeated)
	r.session(2)
	_, err = r.c.Session(r.ctx, endpoint.SessionRequest{Token: 1, Owner: "owner-1"})
	r.want(err, endpoint.ErrStaleToken)
	_, err = r.c.Session(r.ctx, endpoint.SessionRequest{Token: 2, Owner: "another"})
	r.want(err, endpoint.ErrStaleToken)
	_, err = r.c.Start(r.ctx, r.request(2, 1, 0))
	r.want(err, endpoint.ErrStaleToken)
	_, err = r.c.Cancel(r.ctx, 1, r.request(3, 1, 0).Attempt)
	r.want(err, endpoint.ErrStaleToken)
	expired := r.request(4, 2, 0)
	expired.StartBeforeMS = first.ClockMS - 1
	_, err = r.c.Start(r.ctx, expired)
	r.want(err, endpoint.ErrExpired)
	blocked := r.request(5, 2, 0)
	started, err := r.c.Cancel(r.ctx, 2, blocked.Attempt)
	r.want(err, nil)
	if started {
		t.Error("cancel of an unknown attempt says that it started")
	}
	_, err = r.c.Start(r.ctx, blocked)
	r.want(err, endpoint.ErrCancelled)
	for n := 2; n <= 5; n++ {
		r.wantEvents(r.request(n, 0, 0).Attempt, "")
	}
}

// Guards against a frozen endpoint that performs effects after its lease has
// lapsed, even if a session call waits in its socket when it resumes.
func TestLeaseLapsesDuringFreeze(t *testing.T) {
	for range 5 {
		r := runnerRig(t)
		r.session(1)
		req := r.request(1, 1, 100)
		errs := make(chan error, 2)
		go func() {
			_, err := r.c.Start(r.ctx, req)
			errs <- err
		}()
		r.waitFor("start", func() bool { return r.e.Stats().Starts == 1 })
		r.e.SetFaults(Faults{Freeze: true})
		go func() {
			_, err := r.c.Session(r.ctx, endpoint.SessionRequest{Token: 1, Owner: "owner-1"})
			errs <- err
		}()
		time.Sleep(400 * time.Millisecond)
		r.e.SetFaults(Faults{})
		a, b := <-errs, <-errs
		if !errors.Is(errors.Join(a, b), endpoint.ErrOutcomeUnknown) {
			t.Errorf("start and session returned %v, %v", a, b)
		}
		r.wantEvents(req.Attempt, "start end:lease-lapsed")
		if s := r.session(1); len(s.Running) != 0 || len(s.Ended) != 1 || !s.Ended[0].Stopped || s.Ended[0].HasAnswer {
			t.Errorf("report after the lapse: %+v", s)
		}
	}
}

// Guards against work that runs on after its owner stopped renewing.
func TestLeaseLapseStopsWork(t *testing.T) {
	r := runnerRig(t)
	r.session(1)
	req := r.request(1, 1, 10_000)
	_, err := r.c.Start(r.ctx, req)
	r.want(err, endpoint.ErrOutcomeUnknown)
	r.wantEvents(req.Attempt, "start end:lease-lapsed")
	_, err = r.c.Start(r.ctx, r.request(2, 1, 0))
	r.want(err, endpoint.ErrNoLease)
}

// Guards against ends that are dropped before the owner has handled them, and
// against an acknowledgement of an earlier instance.
func TestEndedAreRepeatedUntilAcknowledged(t *testing.T) {
	r := runnerRig(t)
	inst := r.session(1).Instance
	for n := range 3 {
		_, err := r.c.Start(r.ctx, r.request(n, 1, 0))
		r.want(err, nil)
	}
	report := func(ack uint64, instance string) int {
		s, err := r.c.Session(r.ctx, endpoint.SessionRequest{Token: 1, Owner: "owner-1", Ack: ack, Instance: instance})
		r.want(err, nil)
		for _, e := range s.Ended {
			if _, err := ParseAnswer(e.Answer.Body); err != nil || !e.HasAnswer {
				t.Errorf("reported answer of %s: %v", e.Attempt, err)
			}
		}
		return len(s.Ended)
	}
	for _, step := range []struct {
		ack      uint64
		instance string
		want     int
	}{{0, inst, 3}, {3, "earlier", 3}, {99, "", 3}, {2, inst, 1}, {1, inst, 1}, {3, inst, 0}} {
		if n := report(step.ack, step.instance); n != step.want {
			t.Errorf("ack %d of %q: %d ended, want %d", step.ack, step.instance, n, step.want)
		}
	}
}

// Guards against attempts that survive a restart, and against a start with a
// limit in the clock of the earlier instance.
func TestRestart(t *testing.T) {
	r := workerRig(t)
	before := r.session(1)
	req := r.request(1, 1, -1)
	req.Resources.CoresMilli = 1000
	_, err := r.c.Start(r.ctx, req)
	r.want(err, nil)
	r.e.Restart()
	after := r.session(1)
	if after.Instance == before.Instance || len(after.Running)+len(after.Ended) != 0 {
		t.Errorf("report after the restart: %+v", after)
	}
	r.wantEvents(req.Attempt, "start end:restarted")
	late := r.request(2, 1, 0)
	late.Instance = before.Instance
	_, err = r.c.Start(r.ctx, late)
	r.want(err, endpoint.ErrExpired)
}

// Guards against overbooked workers, and against tasks that can't be
// throttled, checkpointed, resumed or stopped at their run limit.
func TestWorkerTasks(t *testing.T) {
	r := workerRig(t)
	r.session(1)
	task := r.request(1, 1, 400)
	task.Resources = model.Resources{CoresMilli: 3000, MemoryMB: 100}
	reply, err := r.c.Start(r.ctx, task)
	r.want(err, nil)
	if !reply.Accepted {
		t.Error("worker must accept a task at once")
	}
	second := r.request(2, 1, -1)
	second.Resources.CoresMilli = 1001
	_, err = r.c.Start(r.ctx, second)
	r.want(err, endpoint.ErrNoCapacity)
	if u := r.session(1).Running[0].Usage; !u.IsZero() {
		t.Errorf("usage %+v is reported before its lag has passed", u)
	}
	r.want(r.c.Throttle(r.ctx, 1, task.Attempt, true), nil)
	r.waitFor("lag", func() bool { return r.session(1).Running[0].Usage.CoresMilli == 1500 })
	time.Sleep(100 * time.Millisecond)
	r.want(r.c.Checkpoint(r.ctx, 1, task.Attempt), nil)
	r.want(r.c.Checkpoint(r.ctx, 1, task.Attempt), endpoint.ErrBadRequest)
	r.wantEvents(task.Attempt, "start end:checkpointed")

	resumed, from := task, time.Now()
	resumed.Attempt = model.AttemptID(TaskKey(task.Attempt) + ".00000000000000ff")
	_, err = r.c.Start(r.ctx, resumed)
	r.want(err, nil)
	r.waitFor("end", func() bool { return len(r.session(1).Ended) == 2 })
	if took := time.Since(from); took > 380*time.Millisecond {
		t.Errorf("resumed task of 400 ms took %v", took)
	}
	r.wantEvents(resumed.Attempt, "start effect end:done")

	limited := r.request(3, 1, -1)
	limited.RunLimit = 50 * time.Millisecond
	_, err = r.c.Start(r.ctx, limited)
	r.want(err, nil)
	r.waitFor("run limit", func() bool { return len(r.session(1).Ended) == 3 })
	r.wantEvents(limited.Attempt, "start end:run-limit")
}

// Guards against faults that leave a wrong trace: a lost or truncated reply
// must not undo the work, a failure must not have an effect.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults Faults
		err    error
		status int
		events string
	}{
		{"lose replies", Faults{LoseReplies: true}, endpoint.ErrOutcomeUnknown, 0, "start effect end:done"},
		{"truncate", Faults{TruncateAnswers: true}, endpoint.ErrOutcomeUnknown, 0, "start effect end:done"},
		{"fail all", Faults{FailAll: true}, nil, 500, "start end:failed"},
		{"fail template", Faults{FailTemplates: []string{"kalnins/cut-list"}}, nil, 500, "start end:failed"},
		{"fail other", Faults{FailTemplates: []string{"sabra/quote"}}, nil, 200, "start effect end:done"},
		{"delay", Faults{DelayRepliesMS: 50}, nil, 200, "start effect end:done"},
		{"hang", Faults{Hang: true}, endpoint.ErrOutcomeUnknown, 0, ""},
		{"refuse", Faults{RefuseConnections: true}, endpoint.ErrNotSent, 0, ""},
		{"leaving", Faults{Leaving: true}, endpoint.ErrLeaving, 0, ""},
		{"leaving accepts", Faults{Leaving: true, LeavingAccepts: true}, nil, 200, "start effect end:done"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := RunnerConfig("runner-1", "z1", "orders")
			r := newRig(t, cfg)
			r.session(1)
			r.e.SetFaults(c.faults)
			// The port closes and opens asynchronously to the connections of the client.
			r.c.Close()
			ctx, cancel := context.WithTimeout(r.ctx, 300*time.Millisecond)
			defer cancel()
			reply, err := r.c.Start(ctx, r.request(1, 1, 0))
			r.want(err, c.err)
			if reply.Answer.Status != c.status {
				t.Errorf("status %d, want %d", reply.Answer.Status, c.status)
			}
			if c.faults.Hang {
				r.waitFor("client's leaving to be noticed", func() bool { return r.e.Stats().Connections == 0 })
			}
			r.e.SetFaults(Faults{})
			s := r.session(1)
			r.wantEvents(r.request(1, 1, 0).Attempt, c.events)
			for _, e := range r.e.Effects().Effects {
				if (e.LeavingMS > 0) != c.faults.Leaving {
					t.Errorf("start is logged %d ms after the endpoint announced that it leaves", e.LeavingMS)
				}
			}
			if c.events != "" && len(s.Ended) != 1 {
				t.Errorf("%d ended in the report, want 1", len(s.Ended))
			}
		})
	}
}

// Guards against an endpoint that accepts connections without limit, which
// would hide a pool owner that opens too many.
func TestConnectionsBeyondLimitAreReset(t *testing.T) {
	r := runnerRig(t)
	for range RunnerConnections {
		c, err := net.Dial("tcp", r.e.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	r.waitFor("connections", func() bool { return r.e.Stats().Connections == RunnerConnections })
	_, err := r.c.Session(r.ctx, endpoint.SessionRequest{Token: 1, Owner: "a"})
	if err == nil || r.e.Stats().Rejected == 0 {
		t.Errorf("connection %d was served: %v", RunnerConnections+1, err)
	}
}

// Guards against VMs that are missing or live in the VM list while they leave.
func TestHostRegistersAndServesFaults(t *testing.T) {
	var mu sync.Mutex
	vms := map[string]platform.VM{}
	calls := 0
	p := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if calls++; calls <= 2 {
			http.Error(w, "starting", http.StatusServiceUnavailable)
			return
		}
		if r.Method == http.MethodDelete {
			delete(vms, strings.TrimPrefix(r.URL.Path, "/admin/vms/"))
			return
		}
		var vm platform.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			t.Error(err)
		}
		vms[vm.ID] = vm
	}))
	defer p.Close()
	defer http.DefaultClient.CloseIdleConnections()
	defer platformClient.CloseIdleConnections()
	var configs []Config
	for i := range 5 {
		configs = append(configs, WorkerConfig(fmt.Sprint("worker-", i), "z1", "r1", model.Resources{CoresMilli: 1000}))
	}
	h, err := NewHost("127.0.0.1", 0, "127.0.0.1:0", configs)
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	if err := h.Register(t.Context(), p.URL); err != nil {
		t.Fatal(err)
	}
	post := func(path, body string) int {
		resp, err := http.Post("http://"+h.AdminAddress()+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	for path, want := range map[string]int{"/admin/faults?endpoint=worker-3": 200, "/admin/faults?endpoint=none": 404} {
		if got := post(path, `{"leaving": true}`); got != want {
			t.Errorf("%s: status %d, want %d", path, got, want)
		}
	}
	if got := post("/admin/faults", `{"leeving": true}`); got != 400 {
		t.Errorf("unknown switch: status %d, want 400", got)
	}
	rig := &rig{T: t}
	rig.waitFor("leaving", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return vms["worker-3"].State == platform.VMLeaving
	})
	mu.Lock()
	if len(vms) != 5 || vms["worker-2"].State != platform.VMLive || vms["worker-2"].Address != h.Endpoints()[2].Address() {
		t.Errorf("VM list: %+v", vms)
	}
	mu.Unlock()
	if err := h.Deregister(t.Context()); err != nil || len(vms) != 0 {
		t.Errorf("VM list after the end: %+v, %v", vms, err)
	}
}
