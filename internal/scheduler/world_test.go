package scheduler

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// world is a simple model of runners, advice and time that a scheduler drives. Orders may be lost, answered late or
// carried out late; runners may restart or fall silent. It checks the promises as it goes.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	wall     time.Time
	sched    *Scheduler
	runners  map[string]*fakeRunner
	pending  []timedEvent
	records  map[string]*job.Record
	faults   bool
	broken   []string
	term     int64
	running  map[job.TaskID]int // runs that exist, by task
	acked    map[job.TaskID]bool
	specs    map[string]job.Spec
	trace    []string
	queues   []Queue
	runFor   func(step job.Step) time.Duration
	slower   map[string]float64       // how much longer runs take, by runner
	estimate int64                    // declared run time of random jobs, milliseconds
	failIn   int                      // one run in so many fails
	began    map[string]time.Duration // of jobs, when a first task began
}

type timedEvent struct {
	at time.Duration
	do func()
}

type fakeRunner struct {
	w        *world
	info     RunnerInfo
	born     int64
	fence    int64
	silent   bool
	runs     map[runKey]*fakeRun
	refused  map[job.TaskID]int // highest run that was stopped or ended
	ended    []EndedRun
	ends     int64
	lapsesAt time.Duration
}

type fakeRun struct {
	key    runKey
	need   model.Resources
	endsAt time.Duration
	how    string
	gang   bool
	saves  bool
	began  time.Duration // less the work that it resumed from
	saved  string        // work that was done when it was stopped
}

const worldQueue = "quotes"

func newWorld(seed int64, runners int) *world {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), now: time.Second, wall: time.UnixMilli(1_700_000_000_000),
		runners: map[string]*fakeRunner{}, records: map[string]*job.Record{}, running: map[job.TaskID]int{},
		acked: map[job.TaskID]bool{}, specs: map[string]job.Spec{},
	}
	w.queues = []Queue{{
		Name: worldQueue, Service: "orders", Attempts: 3, Stretch: 2, Objective: time.Second,
		Advice: &AdvicePolicy{PerCall: 10 * time.Millisecond, PerRunner: time.Millisecond, TicketTTL: time.Second},
	}}
	w.failIn = 25
	w.estimate = 300
	w.runFor = func(job.Step) time.Duration { return time.Duration(100+w.rng.Intn(800)) * time.Millisecond }
	w.began = map[string]time.Duration{}
	for i := range runners {
		r := &fakeRunner{w: w, born: 1, runs: map[runKey]*fakeRun{}, refused: map[job.TaskID]int{}}
		r.info = RunnerInfo{
			ID: fmt.Sprintf("r%02d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Service: "orders",
			Rack: fmt.Sprintf("rack%d", i/4), Labels: []string{"a"}, Capacity: model.Resources{CoresMilli: 8000, MemoryMB: 8000},
		}
		w.runners[r.info.ID] = r
	}
	w.takeover()
	return w
}

func testConfig() Config {
	return Config{
		RunLease: 4500 * time.Millisecond, ClockDrift: 0.02, LeaseExpiryMargin: 300 * time.Millisecond,
		StopTimeout: 200 * time.Millisecond, OwnerLease: 3 * time.Second, StatusRetention: time.Hour,
	}
}

// takeover replaces the scheduler by a new owner that knows what is durable.
func (w *world) takeover() {
	w.term++
	w.sched = New(testConfig(), w.term, w.now, w.wall)
	w.sched.SetQueues(w.queues)
	w.sched.Dispatcher().SetMachines([]string{"m1", "m2", "m3"})
	if w.term > 1 {
		for _, r := range w.runners {
			w.sched.RunnerInherited(r.info.ID, r.info.Addr)
		}
	}
	for _, r := range w.records {
		w.sched.Restore(r)
	}
	w.sched.RestoreDone()
	sched := w.sched
	for _, r := range w.runners {
		w.sched.RunnerListed(r.info)
		w.after(time.Millisecond, func() { w.look(sched, r, 0) })
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.pending = append(w.pending, timedEvent{w.now + d, do})
}

func (w *world) fail(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s: ", w.now)+fmt.Sprintf(format, args...))
}

// note keeps a line for the report of a failure.
func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%s: ", w.now)+fmt.Sprintf(format, args...))
}

// history returns the lines that name a text.
func (w *world) history(text string) []string {
	var out []string
	for _, line := range w.trace {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// run moves the world on in steps of ten milliseconds.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 10 * time.Millisecond
		w.wall = w.wall.Add(10 * time.Millisecond)
		w.sched.Advance(w.now, w.wall)
		due := w.pending
		w.pending = nil
		for _, e := range due {
			if e.at <= w.now {
				e.do()
			} else {
				w.pending = append(w.pending, e)
			}
		}
		for _, r := range w.runners {
			r.step()
		}
		w.sched.Advance(w.now, w.wall)
		w.sched.Tick()
		w.settle()
	}
}

func (w *world) settle() {
	for {
		w.sched.Pass()
		effects := w.sched.Effects()
		if len(effects) == 0 {
			break
		}
		for _, e := range effects {
			w.apply(w.sched, e)
		}
	}
	sched := w.sched
	for _, d := range w.sched.TakeDirty(15, func(string) bool { return false }) {
		w.after(10*time.Millisecond, func() {
			if sched != w.sched {
				return // fenced by the claim of a newer owner
			}
			w.records[d.ID] = d.Record
			sched.MarkStored(d.ID, d.Version)
		})
	}
}

func (w *world) apply(sched *Scheduler, effect Effect) {
	if _, ok := effect.(RequestAdvice); !ok {
		w.note("%T %+v", effect, effect)
	}
	switch e := effect.(type) {
	case StartRun:
		w.start(sched, e)
	case StopRun:
		w.stop(sched, e)
	case PollRunner:
		r := w.runners[e.Runner.ID]
		w.after(5*time.Millisecond, func() { w.report(sched, r, w.now) })
	case RequestAdvice:
		w.after(e.Expected, func() {
			sched.Dispatcher().Done(e.Machine, e.Expected, w.now, false)
			var good []EligibleRunner
			for _, ref := range e.Runners {
				if (len(ref.ID)+int(ref.ID[2]))%2 == 0 || len(e.Runners) < 4 {
					good = append(good, EligibleRunner{ID: ref.ID, Ticket: fmt.Sprint(e.Step)})
				}
			}
			sched.AdviceAnswered(e.Step, e.Runners, good, time.Second)
		})
	}
}

func (w *world) start(sched *Scheduler, e StartRun) {
	r := w.runners[e.Runner.ID]
	term := w.term
	lost := w.faults && w.rng.Intn(20) == 0 || r.silent
	delay := 5 * time.Millisecond
	if lost {
		delay = time.Duration(w.rng.Intn(6000)) * time.Millisecond
		w.after(500*time.Millisecond, func() { sched.StartAnswered(e.Runner.ID, e.Task, e.Run, StartUnknown) })
	}
	until := w.now + testConfig().RunLease
	w.after(delay, func() {
		outcome := r.start(e, term, until)
		if !lost {
			sched.StartAnswered(e.Runner.ID, e.Task, e.Run, outcome)
		}
	})
}

func (w *world) stop(sched *Scheduler, e StopRun) {
	r := w.runners[e.Runner.ID]
	term := w.term
	if r.silent || w.faults && w.rng.Intn(10) == 0 {
		return
	}
	w.after(5*time.Millisecond, func() {
		if term < r.fence {
			return
		}
		r.stop(runKey{e.Task, e.Run})
		sched.StopAnswered(e.Runner.ID, e.Task, e.Run)
	})
}

// look reports now and then, as the owner's looks do.
func (w *world) look(sched *Scheduler, r *fakeRunner, acked int64) {
	if sched != w.sched {
		return
	}
	if r.silent {
		sched.RunnerUnreachable(r.info.ID, r.info.Addr, "no answer")
		w.after(200*time.Millisecond, func() { w.look(sched, r, acked) })
		return
	}
	if w.term >= r.fence {
		r.fence = w.term
		r.lapsesAt = w.now + testConfig().RunLease
		sched.LeaseSent(r.info.ID)
		r.forget(acked)
		w.report(sched, r, w.now)
	}
	w.after(50*time.Millisecond, func() { w.look(sched, r, sched.Acknowledged(r.info.ID)) })
}

// report delivers a snapshot of a runner, sometimes after later ones.
func (w *world) report(sched *Scheduler, r *fakeRunner, sent time.Duration) {
	if r.silent {
		return
	}
	rep := Report{Runner: r.info.ID, Addr: r.info.Addr, Incarnation: r.born, Clock: int64(w.now), RequestedAt: sent}
	for key := range r.runs {
		rep.Running = append(rep.Running, RunningRun{Task: key.task, Run: key.run, Usage: -1})
	}
	rep.Ended = append(rep.Ended, r.ended...)
	if w.faults && w.rng.Intn(5) == 0 {
		w.after(time.Duration(w.rng.Intn(100))*time.Millisecond, func() { sched.Report(rep) })
		return
	}
	sched.Report(rep)
}

// submit hands in a job of random queue and shape.
func (w *world) submit(id string) {
	spec := job.Spec{ID: id, Queue: w.queues[0].Name}
	if len(w.queues) > 1 {
		spec.Queue = w.queues[w.rng.Intn(len(w.queues))].Name
	}
	for i := range 1 + w.rng.Intn(2) {
		step := job.Step{
			Count: 1 + w.rng.Intn(5), Need: model.Resources{CoresMilli: int64(500 + w.rng.Intn(3000)), MemoryMB: 1000}, Estimate: w.estimate,
			Gang: w.rng.Intn(3) == 0, Checkpoints: w.rng.Intn(2) == 0, Speculative: w.rng.Intn(5) == 0,
		}
		if i > 0 {
			step.After = []int{0}
		}
		spec.Steps = append(spec.Steps, step)
	}
	w.specs[id] = spec
	w.sched.Submit(spec)
}

// containsStart reports whether a line of the history is the start of a task.
func containsStart(line, task string) bool {
	return strings.Contains(line, "StartRun") && strings.Contains(line, "Task:"+task+" ")
}

// mustFinish gives the jobs time to end and checks that they did, and that no promise was broken.
func (w *world) mustFinish(t *testing.T, within time.Duration) {
	t.Helper()
	w.run(within)
	if left := w.sched.Stats().ActiveJobs; left > 0 {
		t.Errorf("%d jobs have not ended", left)
	}
	for _, broken := range w.broken {
		t.Error(broken)
	}
}
