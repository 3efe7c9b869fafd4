//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of a runner as the pages describe it. The spec of a task gives its work, as "ms=400".
type runner struct {
	id     string
	addr   string
	cpu    int
	labels []string
	rec    *recorder
	log    *runLog
	grey   bool  // fails all that it starts
	late   int64 // percentage of the starts and stops that get no answer and are carried out 2 to 12 s later
	via    *link // its connections, if the runner is called through one

	mu        sync.Mutex
	born      time.Time
	life      int
	up        bool
	downSince time.Time
	fence     int64
	runs      map[string]*taskRun
	highest   map[string]int
	ended     []taskEnd
	seq       int64
	leaseEnd  time.Time
	lapsed    time.Time // when the lease last ended
	changed   chan struct{}
	conns     map[net.Conn]bool
}

type taskRun struct {
	task  string
	run   int
	began time.Time
	work  time.Duration
	timer *time.Timer
	entry *runEntry
}

type taskEnd struct {
	seq   int64
	task  string
	run   int
	how   string
	entry *runEntry
}

const (
	// endsPerAnswer is how many ends an answer lists: the pages say 500 at a time.
	endsPerAnswer = 500
	holdMax       = 10 * time.Second
	// greyFailsAfter is how long a run works on a runner that fails all that it starts.
	greyFailsAfter = 100 * time.Millisecond
)

// begin starts a life of the runner.
func (r *runner) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born, r.up = time.Now(), true
	r.life++
	r.fence, r.seq, r.ended, r.leaseEnd = 0, 0, nil, time.Time{}
	r.runs, r.highest, r.changed = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
	if r.conns == nil {
		r.conns = map[net.Conn]bool{}
	}
}

// crash ends the process of the runner with all that runs there.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.logf("%s crashes, %d runs are lost", r.id, len(r.runs))
	r.up, r.downSince = false, time.Now()
	for _, x := range r.runs {
		x.timer.Stop()
		x.entry.finish("crashed")
	}
	r.runs, r.ended = map[string]*taskRun{}, nil
	close(r.changed)
	r.changed = make(chan struct{})
	for conn := range r.conns {
		reset(conn)
	}
	r.conns = map[net.Conn]bool{}
}

func (r *runner) connState(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		if !r.up {
			reset(conn)
			return
		}
		r.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, conn)
	}
}

type lifeKey struct{}

func (r *runner) connContext(ctx context.Context, _ net.Conn) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	return context.WithValue(ctx, lifeKey{}, r.life)
}

// entry returns the entry of the runner, or for how long it has been down.
func (r *runner) entry(seq int64) (entry map[string]any, silent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return nil, time.Since(r.downSince)
	}
	return map[string]any{
		"service": "orders", "addr": r.advertised(), "zone": "z", "version": "v1", "slots": 8, "state": "ready", "seq": seq, "born": r.born.UnixMilli(),
		"capacity": map[string]int{"cpu": r.cpu, "mem-mb": 65536, "gpu": 0}, "labels": r.labels,
	}, 0
}

// advertised returns the address by which the runner is called.
func (r *runner) advertised() string {
	if r.via != nil {
		return r.via.address()
	}
	return r.addr
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1000 }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until-ms"`
	Fence      int64  `json:"fence"`
	AckedUpTo  int64  `json:"acked-upto"`
	WaitMs     int64  `json:"wait-ms"`
	Checkpoint string `json:"checkpoint-ref"`
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var in order
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	life, _ := req.Context().Value(lifeKey{}).(int)
	r.mu.Lock()
	alive := r.up && r.life == life
	late := alive && rand.Int63n(100) < r.late
	r.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler)
	}
	if instance := req.Header.Get("X-Expect-Instance"); instance != "" && instance != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if late && req.URL.Path != "/hold" {
		delay := 2*time.Second + time.Duration(rand.Int63n(int64(10*time.Second)))
		time.AfterFunc(delay, func() { r.carryOut(req.URL.Path, in) })
		<-req.Context().Done()
		return
	}
	switch req.URL.Path {
	case "/run-start":
		r.answer(w, r.start(in))
	case "/run-stop":
		r.answer(w, r.stopRun(in))
	case "/hold":
		r.hold(w, req, in, life)
	case "/pace":
		r.answer(w, "")
	default:
		http.NotFound(w, req)
	}
}

// carryOut carries an order out late, by the life of the runner that there is then.
func (r *runner) carryOut(path string, in order) {
	r.mu.Lock()
	up := r.up
	r.mu.Unlock()
	if !up {
		return
	}
	switch path {
	case "/run-start":
		if reason := r.start(in); reason == "" {
			r.rec.logf("%s has carried out the start of %s run %d late", r.id, in.Task, in.Run)
		}
	case "/run-stop":
		r.stopRun(in)
	}
}

func (r *runner) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

func (r *runner) answer(w http.ResponseWriter, reason string) {
	r.mu.Lock()
	body := map[string]any{"clock-ms": r.clock()}
	r.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	reply(w, status, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// admit checks the fencing token and takes the lease.
func (r *runner) admit(in order) string {
	if in.Fence < r.fence {
		return "fence"
	}
	r.fence = in.Fence
	if in.UntilMs > 0 {
		end := time.Now().Add(min(time.Duration(in.UntilMs-r.clock())*time.Millisecond, holdMax))
		if end.After(r.leaseEnd) {
			r.leaseEnd = end
			life := r.life
			time.AfterFunc(time.Until(end)+time.Millisecond, func() { r.expire(life) })
		}
	}
	return ""
}

func (r *runner) expire(life int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.life != life || time.Now().Before(r.leaseEnd) {
		return
	}
	r.lapsed = time.Now()
	for _, x := range r.runs {
		r.end(x, "lapsed")
	}
}

func (r *runner) start(in order) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if in.UntilMs > 0 && in.UntilMs < r.clock() {
		return "late"
	}
	if reason := r.admit(in); reason != "" {
		return reason
	}
	if x := r.runs[in.Task]; x != nil && x.run == in.Run {
		return ""
	}
	if r.runs[in.Task] != nil || in.Run <= r.highest[in.Task] {
		return "old"
	}
	x := &taskRun{task: in.Task, run: in.Run, began: time.Now(), work: workOf(in.Spec), entry: r.log.started(in.Task, in.Run, r.id, in.Spec)}
	r.rec.logf("%s starts %s run %d", r.id, in.Task, in.Run)
	r.runs[in.Task] = x
	life := r.life
	how := "done"
	if strings.Contains(in.Spec, "fail") {
		how = "failed"
	}
	if r.grey {
		how, x.work = "failed", greyFailsAfter
	}
	x.timer = time.AfterFunc(x.work, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.up && r.life == life && r.runs[x.task] == x {
			r.end(x, how)
		}
	})
	return ""
}

// workOf returns the work of a task by its spec; by default it lasts.
func workOf(spec string) time.Duration {
	for _, word := range strings.Fields(spec) {
		var ms int
		if _, err := fmt.Sscanf(word, "ms=%d", &ms); err == nil {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return time.Hour
}

func (r *runner) stopRun(in order) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.admit(in); reason != "" {
		return reason
	}
	r.highest[in.Task] = max(r.highest[in.Task], in.Run)
	if x := r.runs[in.Task]; x != nil && x.run <= in.Run {
		r.end(x, "stopped")
	}
	return ""
}

// end ends a run and lists its end. The caller holds the lock.
func (r *runner) end(x *taskRun, how string) {
	x.timer.Stop()
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.run)
	r.seq++
	r.ended = append(r.ended, taskEnd{r.seq, x.task, x.run, how, x.entry})
	x.entry.finish(how)
	r.rec.logf("%s ends %s run %d %s, end %d", r.id, x.task, x.run, how, r.seq)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) hold(w http.ResponseWriter, req *http.Request, in order, life int) {
	deadline := time.After(time.Duration(in.WaitMs) * time.Millisecond)
	for {
		r.mu.Lock()
		if !r.up || r.life != life {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if reason := r.admit(in); reason != "" {
			r.mu.Unlock()
			r.answer(w, reason)
			return
		}
		r.acknowledge(in.AckedUpTo)
		body, changed, ended := r.report(), r.changed, len(r.ended) > 0
		r.mu.Unlock()
		if ended || in.WaitMs == 0 {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		case <-deadline:
			in.WaitMs = 0
		}
	}
}

func (r *runner) acknowledge(upto int64) {
	keep := 0
	for keep < len(r.ended) && r.ended[keep].seq <= upto {
		r.ended[keep].entry.acknowledge(r.lapsed)
		keep++
	}
	if keep > 0 {
		r.rec.logf("%s: ends up to %d are acknowledged, %d are left", r.id, upto, len(r.ended)-keep)
	}
	r.ended = r.ended[keep:]
}

func (r *runner) report() map[string]any {
	running := [][]any{}
	for _, x := range r.runs {
		percent := min(int(100*time.Since(x.began)/x.work), 99)
		running = append(running, []any{x.task, x.run, "", percent, 1000})
	}
	ended := [][]any{}
	for _, e := range r.ended[:min(len(r.ended), endsPerAnswer)] {
		e.entry.list()
		ended = append(ended, []any{e.seq, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock-ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": ended}
}

// runLog is what the runners have run.
type runLog struct {
	mu   sync.Mutex
	runs []*runEntry
	// calmUntil is the time of the first disruption. With none near, an end counts as taken note of 100 ms after it is listed; here
	// only ends that were listed more than a second before the disruption do.
	calmUntil time.Time
}

func (l *runLog) takenNoteOf(e *runEntry) bool {
	return e.acknowledged || !e.listed.IsZero() && !l.calmUntil.IsZero() && l.calmUntil.Sub(e.listed) > time.Second
}

type runEntry struct {
	log          *runLog
	task, runner string
	run          int
	spec         string
	began, ended time.Time
	how          string
	listed       time.Time // when its end was listed first
	acknowledged bool      // its end was taken note of, and the lease of the runner didn't lapse between the two
}

func (l *runLog) started(task string, run int, runner, spec string) *runEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &runEntry{log: l, task: task, run: run, runner: runner, spec: spec, began: time.Now()}
	l.runs = append(l.runs, e)
	return e
}

func (e *runEntry) finish(how string) {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	e.ended, e.how = time.Now(), how
}

func (e *runEntry) list() {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	if e.listed.IsZero() {
		e.listed = time.Now()
	}
}

func (e *runEntry) acknowledge(lapsed time.Time) {
	e.log.mu.Lock()
	defer e.log.mu.Unlock()
	e.acknowledged = e.acknowledged || !lapsed.After(e.ended)
}

// twice returns the runs that break the rule TWICE: begun after a run of the task has ended as done, if that end was taken note
// of then or later, or begun while another run of it was at work.
func (l *runLog) twice() (again, beside []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byTask := map[string][]*runEntry{}
	for _, e := range l.runs {
		isAgain, isBeside := "", ""
		for _, before := range byTask[e.task] {
			switch {
			case before.how == "done" && l.takenNoteOf(before) && before.ended.Before(e.began):
				isAgain = fmt.Sprintf("%s: run %d starts on %s %d ms after run %d has ended done on %s, an end that was taken note of",
					e.task, e.run, e.runner, e.began.Sub(before.ended).Milliseconds(), before.run, before.runner)
			case before.ended.IsZero() || before.ended.After(e.began):
				isBeside = fmt.Sprintf("%s: run %d starts on %s while run %d is at work on %s", e.task, e.run, e.runner, before.run, before.runner)
			}
		}
		switch {
		case isAgain != "":
			again = append(again, isAgain)
		case isBeside != "":
			beside = append(beside, isBeside)
		}
		byTask[e.task] = append(byTask[e.task], e)
	}
	return again, beside
}

func sortBy[T any](list []T, before func(a, b T) bool) {
	sort.SliceStable(list, func(i, k int) bool { return before(list[i], list[k]) })
}
