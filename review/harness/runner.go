//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// maxEnds is how many ends an answer lists: "The others are returned again (500 at a time)".
const maxEnds = 500

// runner is a stand-in of a runner, by the section "Running tasks" of PROTOCOL.md. A crash ends its runs, its
// connections and its memory; it comes back under the same id and address.
type runner struct {
	c        *cell
	id, addr string
	rack     string
	work     func(task string) (d time.Duration, how string)

	mu         sync.Mutex
	up         bool
	unreached  bool // cut off: it answers nothing, but goes on running
	hangs      bool // unhealthy: orders to start get no answer, and nothing is done
	fails      bool // unhealthy: all that it starts fails
	label      string
	gpu        int
	born       time.Time
	server     *http.Server
	fence      int64
	runs       map[string]*taskRun
	highest    map[string]int
	ends       []end
	lastEnd    int64
	leaseEnd   time.Time
	leaseTimer *time.Timer
	lapsedAt   time.Time // when the lease last lapsed
	changed    chan struct{}
	seq        int64
	mostEnds   int // most ends that waited for their acknowledgement
}

type taskRun struct {
	task  string
	run   int
	timer *time.Timer
}

type end struct {
	n    int64
	task string
	run  int
	how  string
	at   time.Time
}

func (r *runner) start() {
	listener, err := net.Listen("tcp", r.addr)
	for i := 0; err != nil && i < 50; i++ {
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", r.addr)
	}
	if err != nil {
		r.c.cannotRun("runner %s: %v", r.id, err)
	}
	r.mu.Lock()
	r.up, r.born, r.fence, r.lastEnd, r.ends, r.leaseEnd = true, time.Now(), 0, 0, nil, time.Time{}
	r.runs, r.highest, r.changed = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
	born := r.born
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, born) })}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.c.record("runner-up %s", r.id)
	r.beat()
}

// beat writes the entry of the runner to the store.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.unreached || r.c.storeDown.Load() {
		return
	}
	r.seq++
	r.c.store.Put("servers/"+r.id, map[string]any{
		"service": "fleece-orders", "addr": r.addr, "zone": "tn-north-a", "version": "v1", "slots": 8, "state": "ready", "seq": r.seq,
		"capacity": map[string]int{"cpu": r.c.runnerCPU, "mem-mb": 262144, "gpu": r.gpu}, "labels": []string{r.label, r.rack}, "born": r.born.UnixMilli(),
	})
	r.c.beats.Store(r.id, time.Now())
}

// crash ends the process of the runner with all that it knows.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	for _, x := range r.runs {
		x.timer.Stop()
		r.c.judge.ended(r.id, x.task, x.run, "crashed")
		r.c.gangs.left(x.task, x.run)
	}
	r.runs, r.ends = map[string]*taskRun{}, nil
	server := r.server
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.c.record("runner-crash %s", r.id)
	_ = server.Close()
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

type runnerRequest struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"until-ms"`
	Fence  int64  `json:"fence"`
	Acked  int64  `json:"acked-upto"`
	WaitMs int64  `json:"wait-ms"`
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request, born time.Time) {
	var in runnerRequest
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := req.Header.Get("X-Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	gone, unreached, hangs := !r.up || !r.born.Equal(born), r.unreached, r.hangs
	r.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	if unreached || hangs && req.URL.Path == "/run-start" {
		if hangs {
			r.c.record("order %s run %d on %s gets no answer", in.Task, in.Run, r.id)
		}
		<-req.Context().Done()
		return
	}
	switch req.URL.Path {
	case "/run-start":
		r.result(w, r.startRun(in))
	case "/run-stop":
		r.result(w, r.stopRun(in))
	case "/hold":
		r.hold(w, req, in, born)
	default:
		http.NotFound(w, req)
	}
}

func (r *runner) result(w http.ResponseWriter, reason string) {
	r.mu.Lock()
	body := map[string]any{"clock-ms": r.clock()}
	r.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	respond(w, status, body)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *runner) extend(until int64) {
	if until <= 0 {
		return
	}
	at := r.born.Add(time.Duration(until) * time.Millisecond)
	if limit := time.Now().Add(holdMax); at.After(limit) {
		at = limit
	}
	if !at.After(r.leaseEnd) {
		return
	}
	r.leaseEnd = at
	if r.leaseTimer != nil {
		r.leaseTimer.Stop()
	}
	r.leaseTimer = time.AfterFunc(time.Until(at)+time.Millisecond, r.lapse)
}

func (r *runner) lapse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || time.Now().Before(r.leaseEnd) {
		return
	}
	r.lapsedAt = time.Now()
	for _, x := range r.runs {
		r.end(x, "lapsed")
	}
}

// admit checks and keeps the fencing token.
func (r *runner) admit(fence int64) bool {
	if fence < r.fence {
		return false
	}
	r.fence = fence
	return true
}

func (r *runner) startRun(in runnerRequest) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(in.Fence) {
		return "fence"
	}
	if in.Until > 0 && in.Until < r.clock() {
		return "late"
	}
	r.extend(in.Until)
	if x := r.runs[in.Task]; x != nil && x.run == in.Run {
		return ""
	}
	if r.runs[in.Task] != nil || in.Run <= r.highest[in.Task] {
		return "old"
	}
	if r.leaseEnd.Before(time.Now()) {
		return "late"
	}
	d, how := r.work(in.Task)
	if r.fails {
		d, how = 100*time.Millisecond, "failed"
	}
	x := &taskRun{task: in.Task, run: in.Run}
	r.runs[in.Task] = x
	r.c.judge.started(r.id, in.Task, in.Run)
	m := &member{r: r, x: x, born: r.born}
	if r.c.gangs.isGang(in.Task) {
		r.c.gangs.joined(m, d)
		return ""
	}
	x.timer = time.AfterFunc(d, func() { m.finish(how) })
	return ""
}

func (r *runner) stopRun(in runnerRequest) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(in.Fence) {
		return "fence"
	}
	r.highest[in.Task] = max(r.highest[in.Task], in.Run)
	if x := r.runs[in.Task]; x != nil && x.run <= in.Run {
		r.end(x, "stopped")
	}
	return ""
}

// end lists the end of a run. The caller holds mu.
func (r *runner) end(x *taskRun, how string) {
	x.timer.Stop()
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.run)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, x.task, x.run, how, time.Now()})
	r.mostEnds = max(r.mostEnds, len(r.ends))
	r.c.judge.ended(r.id, x.task, x.run, how)
	if how != "done" {
		r.c.gangs.left(x.task, x.run)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request, in runnerRequest, born time.Time) {
	deadline := time.After(time.Duration(in.WaitMs) * time.Millisecond)
	first := true
	for {
		r.mu.Lock()
		if !r.up || !r.born.Equal(born) {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if first && !r.admit(in.Fence) {
			r.mu.Unlock()
			r.result(w, "fence")
			return
		}
		if first {
			first = false
			r.extend(in.Until)
			keep := []end{}
			for _, e := range r.ends {
				if e.n > in.Acked {
					keep = append(keep, e)
					continue
				}
				if !r.lapsedAt.After(e.at) { // otherwise the end never counts as taken note of
					r.c.judge.noted(r.id, e.task, e.run, e.how)
				}
			}
			r.ends = keep
		}
		if len(r.ends) > 0 || in.WaitMs == 0 {
			body := r.report()
			r.mu.Unlock()
			respond(w, http.StatusOK, body)
			return
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		case <-deadline:
			in.WaitMs = 0
		}
	}
}

func (r *runner) report() map[string]any {
	running := [][]any{}
	for _, x := range r.runs {
		running = append(running, []any{x.task, x.run, "", 100, usageOf(x.task)})
	}
	sort.Slice(running, func(i, k int) bool { return fmt.Sprint(running[i]) < fmt.Sprint(running[k]) })
	ended := [][]any{}
	for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock-ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": ended}
}

// setHangs makes the runner leave orders to start unanswered, or ends that.
func (r *runner) setHangs(on bool) {
	r.c.record("runner %s hangs: %t", r.id, on)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hangs = on
}

// setFails makes all tasks fail that the runner starts, or ends that.
func (r *runner) setFails(on bool) {
	r.c.record("runner %s fails all that it starts: %t", r.id, on)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fails = on
}

// runsJob reports whether a run of the job is at work on the runner.
func (r *runner) runsJob(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.runs {
		if task[:16] == job {
			return true
		}
	}
	return false
}
