//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"sync"
	"time"
)

const (
	holdMax      = 10 * time.Second
	endsPerReply = 500 // a report returns at most so many ends, those with the lowest numbers first
	stopTime     = 20 * time.Millisecond
	leaseCheck   = 20 * time.Millisecond
	// heartbeat is how often a runner writes its entry, entryLife how long the entry stays without that.
	heartbeat = 1500 * time.Millisecond
	entryLife = 3 * heartbeat
)

// Kind is what may differ between two incarnations of a runner.
type Kind struct {
	Label    string
	CPU, Mem int // millicores, MB
}

// Runner is a stand-in of a runner of a service whose runners start whatever they are told to start.
type Runner struct {
	cell *Cell
	ID   string
	Addr string
	Zone string
	Rack string

	mu          sync.Mutex
	kind        Kind
	server      *http.Server // nil while the runner is down
	started     time.Time
	born        int64         // start of the incarnation by the time of day
	timeOfDay   time.Duration // by which the time of day of the machine is ahead
	fence       int64
	leaseEnd    time.Duration // on the clock of the runner
	runs        map[string]*activeRun
	highest     map[string]int // by task, the highest run that was stopped or has ended here
	ended       []endedRun
	seq         int64
	changed     chan struct{}
	entrySeq    int
	refuse      func() int           // status with which starts are refused; nil or 0: they are not
	silentUntil time.Time            // requests get no answer and are not carried out
	late        func() time.Duration // starts get no answer and are carried out after this time; nil or 0: they are not
}

type activeRun struct {
	task     string
	run      int
	step     Step
	begun    time.Time // of the work; zero while a gang is not complete
	stopping bool
}

type endedRun struct {
	seq  int64
	task string
	run  int
	how  string
}

// Boot starts a new incarnation, which registers at once.
func (r *Runner) Boot(kind Kind) error {
	l, err := net.Listen("tcp", r.Addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.kind, r.started = kind, time.Now()
	r.born = r.started.Add(r.timeOfDay).UnixMilli()
	r.fence, r.leaseEnd, r.seq, r.entrySeq = 0, 0, 0, 0
	r.runs, r.highest, r.ended, r.changed = map[string]*activeRun{}, map[string]int{}, nil, make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	r.server = server
	r.mu.Unlock()
	r.cell.Rec.Add("runner %s is up: kind %s, cpu %d, mem-mb %d", r.ID, kind.Label, kind.CPU, kind.Mem)
	go func() { _ = server.Serve(l) }() // returns when the incarnation ends
	go r.beat(server)
	go r.expire(server)
	return nil
}

// Crash ends the incarnation with all that runs, without a word to the store.
func (r *Runner) Crash() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	lost := len(r.runs)
	for _, x := range r.runs {
		r.cell.Judge.Ended(r.ID, x, "crashed")
		r.cell.Gangs.left(r, x)
	}
	for _, e := range r.ended {
		r.cell.Judge.Forgotten(r.ID, e)
	}
	r.runs, r.ended = map[string]*activeRun{}, nil
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
		r.cell.Rec.Add("runner %s crashes with %d runs", r.ID, lost)
	}
}

// StepClock lets the time of day of the machine jump.
func (r *Runner) StepClock(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeOfDay += by
	r.cell.Rec.Add("the time of day on the machine of %s jumps by %s", r.ID, by)
}

// refusalDelay is how long an unhealthy runner takes to refuse a start.
const refusalDelay = 100 * time.Millisecond

// RefuseStarts makes the runner answer starts with the status that f returns, unless it is 0.
func (r *Runner) RefuseStarts(f func() int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = f
}

// Running returns how many runs there are.
func (r *Runner) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

func (r *Runner) clock() time.Duration { return time.Since(r.started) + time.Millisecond }

// beat writes the entry of an incarnation at once and then every heartbeat.
func (r *Runner) beat(server *http.Server) {
	for {
		r.mu.Lock()
		if r.server != server {
			r.mu.Unlock()
			return
		}
		r.entrySeq++
		entry := map[string]any{
			"service": service, "addr": r.Addr, "zone": r.Zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"seq": r.entrySeq, "born": r.born, "labels": []string{r.kind.Label, r.Rack},
			"capacity": map[string]int{"cpu": r.kind.CPU, "mem-mb": r.kind.Mem, "gpu": 0},
		}
		r.mu.Unlock()
		r.cell.RegisterRunner(r.ID, entry)
		time.Sleep(time.Duration((0.8 + 0.4*rand.Float64()) * float64(heartbeat))) // about every heartbeat
	}
}

// expire ends all runs once the lease is over.
func (r *Runner) expire(server *http.Server) {
	for {
		time.Sleep(leaseCheck)
		r.mu.Lock()
		if r.server != server {
			r.mu.Unlock()
			return
		}
		if r.clock() > r.leaseEnd {
			if len(r.runs) > 0 {
				r.cell.Rec.Add("runner %s: the lease of %d runs has lapsed", r.ID, len(r.runs))
			}
			r.cell.Judge.Lapsed(r.ID, len(r.runs))
			for _, x := range r.runs {
				r.end(x, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

type call struct {
	Task   string `json:"task"`
	Run    int    `json:"run"`
	Spec   string `json:"spec"`
	Until  int64  `json:"until-ms"`
	Fence  int64  `json:"fence"`
	Acked  int64  `json:"acked-upto"`
	WaitMs int64  `json:"wait-ms"`

	Checkpoint string `json:"checkpoint-ref"`
}

func (r *Runner) serve(w http.ResponseWriter, req *http.Request) {
	var in call
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	silent := time.Now().Before(r.silentUntil)
	r.mu.Unlock()
	if silent {
		<-req.Context().Done()
		return
	}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/run-start":
		r.serveStart(req.Context(), w, in)
	case "/run-stop":
		r.serveStop(w, in)
	case "/hold":
		r.serveHold(req.Context(), w, in)
	default:
		http.NotFound(w, req)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (r *Runner) result(w http.ResponseWriter, reason string) {
	body := map[string]any{"clock-ms": r.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
		writeJSON(w, http.StatusConflict, body)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// admit checks the fencing token and extends the lease. The caller holds the lock.
func (r *Runner) admit(in call) bool {
	if in.Fence < r.fence {
		return false
	}
	r.fence = in.Fence
	if until := min(time.Duration(in.Until)*time.Millisecond, r.clock()+holdMax); until > r.leaseEnd {
		r.leaseEnd = until
	}
	return true
}

func (r *Runner) serveStart(ctx context.Context, w http.ResponseWriter, in call) {
	r.mu.Lock()
	refuse, late, incarnation := r.refuse, r.late, r.server
	r.mu.Unlock()
	if late != nil {
		if delay := late(); delay > 0 {
			r.cell.Rec.Limited("late starts", "runner %s will carry out %s run %d in %s", r.ID, in.Task, in.Run, delay)
			time.AfterFunc(delay, func() {
				r.mu.Lock()
				same := r.server == incarnation
				r.mu.Unlock()
				if same {
					r.start(httptest.NewRecorder(), in)
				}
			})
			<-ctx.Done()
			return
		}
	}
	if refuse != nil {
		if status := refuse(); status != 0 {
			r.cell.Rec.Limited("refused starts", "runner %s refuses %s run %d with %d", r.ID, in.Task, in.Run, status)
			time.Sleep(refusalDelay)
			w.WriteHeader(status)
			return
		}
	}
	r.start(w, in)
}

func (r *Runner) start(w http.ResponseWriter, in call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.runs[in.Task]
	switch {
	case in.Fence < r.fence:
		r.result(w, "fence")
		return
	case in.Until > 0 && time.Duration(in.Until)*time.Millisecond <= r.clock():
		r.result(w, "late")
		return
	case !r.admit(in):
		r.result(w, "fence")
		return
	case x != nil && x.run == in.Run:
		r.result(w, "")
		return
	case in.Run <= r.highest[in.Task] || x != nil:
		r.result(w, "old")
		return
	}
	x = &activeRun{task: in.Task, run: in.Run}
	x.step, _ = r.cell.Judge.StepOf(in.Task)
	r.runs[in.Task] = x
	cpu, mem := 0, 0
	for _, other := range r.runs {
		if !other.step.Fills {
			cpu += other.step.CPU
		}
		mem += other.step.Mem
	}
	r.cell.Judge.Started(r, x, in, cpu, mem)
	if x.step.Gang {
		r.cell.Gangs.joined(r, x)
	} else {
		r.work(x)
	}
	r.result(w, "")
}

// work lets a run begin its work. The caller holds the lock.
func (r *Runner) work(x *activeRun) {
	x.begun = time.Now()
	if x.step.Daemon {
		return
	}
	length, how := x.step.Length, "done"
	if x.step.FailOneIn > 0 && rand.Intn(x.step.FailOneIn) == 0 {
		length, how = time.Duration(rand.Float64()*float64(length)), "failed"
	}
	r.later(x, length, how)
}

// later ends a run after a time, unless it has ended before.
func (r *Runner) later(x *activeRun, after time.Duration, how string) {
	incarnation := r.server
	time.AfterFunc(after, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.server == incarnation && r.runs[x.task] == x {
			r.end(x, how)
		}
	})
}

// end lists a run as ended. The caller holds the lock.
func (r *Runner) end(x *activeRun, how string) {
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.run)
	r.seq++
	r.ended = append(r.ended, endedRun{r.seq, x.task, x.run, how})
	r.cell.Judge.Ended(r.ID, x, how)
	r.cell.Gangs.left(r, x)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runner) serveStop(w http.ResponseWriter, in call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(in) {
		r.result(w, "fence")
		return
	}
	r.highest[in.Task] = max(r.highest[in.Task], in.Run)
	x := r.runs[in.Task]
	if x != nil && x.run <= in.Run && !x.stopping {
		x.stopping = true
		r.later(x, stopTime, "stopped")
	}
	r.cell.Rec.Limited("stops", "runner %s is told to stop %s run %d", r.ID, in.Task, in.Run)
	r.result(w, "")
}

func (r *Runner) serveHold(ctx context.Context, w http.ResponseWriter, in call) {
	deadline := time.After(time.Duration(in.WaitMs) * time.Millisecond)
	r.mu.Lock()
	incarnation := r.server
	if !r.admit(in) {
		r.result(w, "fence")
		r.mu.Unlock()
		return
	}
	keep := r.ended[:0:0]
	for _, e := range r.ended {
		if e.seq > in.Acked {
			keep = append(keep, e)
			continue
		}
		r.cell.Judge.Acked(r.ID, e)
	}
	r.ended = keep
	for len(r.ended) == 0 && in.WaitMs > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			in.WaitMs = 0
		case <-ctx.Done():
			return
		}
		r.mu.Lock()
	}
	if r.server != incarnation {
		r.mu.Unlock()
		return
	}
	body := r.report()
	r.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// report returns both lists. The caller holds the lock.
func (r *Runner) report() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.runs {
		percent, usage := 0, 0
		if !x.begun.IsZero() {
			percent, usage = 100, x.step.CPU
			if !x.step.Daemon {
				percent = min(int(100*time.Since(x.begun)/max(x.step.Length, time.Millisecond)), 99)
			}
		}
		running = append(running, []any{x.task, x.run, r.checkpointOf(x), percent, usage})
	}
	sort.Slice(running, func(i, k int) bool { return running[i][0].(string) < running[k][0].(string) })
	for _, e := range r.ended[:min(len(r.ended), endsPerReply)] {
		ended = append(ended, []any{e.seq, e.task, e.run, e.how, ""})
	}
	if left := len(r.ended) - len(ended); left > 0 {
		r.cell.Rec.Limited("long lists", "runner %s lists %d ends and has %d more", r.ID, len(ended), left)
	}
	return map[string]any{
		"clock-ms": r.clock().Milliseconds(), "born": r.born, "running": running, "ended": ended,
	}
}

// checkpointInterval is checkpoint-interval-s.
const checkpointInterval = 500 * time.Millisecond

// checkpointOf returns the last checkpoint of a run; empty if there is none. The caller holds the lock.
func (r *Runner) checkpointOf(x *activeRun) string {
	if !x.step.Checkpoint || x.begun.IsZero() {
		return ""
	}
	n := int(time.Since(x.begun) / checkpointInterval)
	if n == 0 {
		return ""
	}
	value := fmt.Sprintf("%s/%d/%d", x.task, x.run, n)
	r.cell.Judge.Saved(x.task, value)
	return value
}
