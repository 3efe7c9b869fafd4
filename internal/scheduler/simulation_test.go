package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/tenant"
)

// simulation simulates runners, the advice service, the store and time around a scheduler. With faults, start requests may
// stay unanswered and be executed late, stop requests may be lost, and reports may be reordered. Tests restart runners or
// make them unreachable. It checks the scheduler's invariants during the run.
type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	wall        time.Time
	sched       *Scheduler
	runners     map[string]*fakeRunner
	pending     []timedEvent
	records     map[string]*job.Record
	faults      bool
	violations  []string
	term        int64
	running     map[job.TaskID]int // number of existing runs, by task
	acked       map[job.TaskID]bool
	specs       map[string]job.Spec
	trace       []string
	queues      []Queue
	runFor      func(step job.Step) time.Duration
	slowdown    map[string]float64                                                    // factor by which runs take longer, by runner
	estimate    int64                                                                 // declared run time of random jobs, milliseconds
	failOneIn   int                                                                   // one of this many runs fails; 0: none
	failsOneIn  map[string]int                                                        // one of this many runs on a runner fails at once; 0: none
	firstStarts map[string]time.Duration                                              // start of the first run, by job
	work        func(task job.TaskID, run int) (length time.Duration, outcome string) // nil: runFor and failOneIn
	finished    map[string]JobFinished
	membersDone map[runKey]int // members of a gang's run that are done; the index of the task is 0
	finishedAt  map[string]time.Duration
	overloaded  bool                                      // starts without an answer blame no runner
	noSendUntil time.Duration                             // until then the owner can send no start request
	eligible    func(step job.StepID, runner string) bool // nil: see isEligible
	tenants     []tenant.Tenant                           // none: work without tenants
	version     int64                                     // of the configuration that holds the tenants
	inFlight    map[runKey]startInFlight                  // start requests that runners have not handled
	deadly      func(task job.TaskID) bool                // nil: no task crashes its runner
	crashes     map[job.TaskID]int                        // of runners under their tasks, by task
	usage       func(task job.TaskID, runner string) int  // processor usage in millicores; nil: not reported
	storeDown   bool                                      // no record is stored
	stageWaits  map[string]StageWaiting                   // the last report of a long wait, by job

	crashAfter      time.Duration    // from the start of a deadly task to the crash, if longer than usual
	restartsInPlace bool             // runners that have crashed start again under the same identifier
	fences          map[string]int64 // of the owner's calls, by runner
}

// startInFlight is a start request that its runner may still accept.
type startInFlight struct {
	runner *fakeRunner
	born   int64
	fence  int64
	until  time.Duration
}

type timedEvent struct {
	at time.Duration
	do func()
}

type fakeRunner struct {
	sim            *simulation
	info           RunnerInfo
	incarnation    int64
	fence          int64
	unreachable    bool
	ended          bool // its process has ended; calls are refused
	delisted       bool
	replacedBy     *fakeRunner // the runner that answers at its address since then
	runs           map[runKey]*fakeRun
	stoppedUpTo    map[job.TaskID]int // highest run number that was stopped or has ended
	ends           []EndedRun
	lastSeq        int64
	leaseExpiresAt time.Duration
	refuses        func() (StartOutcome, bool) // outcome of the starts that it doesn't carry out; nil: it carries out all
}

type fakeRun struct {
	key         runKey
	need        model.Resources
	endsAt      time.Duration
	outcome     string
	gang        bool
	checkpoints bool
	startedAt   time.Duration // start time minus the work saved in the checkpoint
	counted     bool          // in membersDone
	checkpoint  string        // completed work when it was stopped
}

const testQueue = "quotes"

func newSimulation(seed int64, runners int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewSource(seed)), now: time.Second, wall: time.UnixMilli(1_700_000_000_000),
		runners: map[string]*fakeRunner{}, records: map[string]*job.Record{}, running: map[job.TaskID]int{},
		acked: map[job.TaskID]bool{}, specs: map[string]job.Spec{},
	}
	sim.queues = []Queue{{
		Name: testQueue, Service: "orders", Attempts: 3, Stretch: 2, Objective: time.Second,
		Advice: &AdvicePolicy{PerCall: 10 * time.Millisecond, PerRunner: time.Millisecond, TicketTTL: time.Second},
	}}
	sim.failOneIn = 25
	sim.estimate = 300
	sim.runFor = func(job.Step) time.Duration { return time.Duration(100+sim.rng.Intn(800)) * time.Millisecond }
	sim.firstStarts = map[string]time.Duration{}
	sim.inFlight = map[runKey]startInFlight{}
	sim.membersDone = map[runKey]int{}
	sim.crashes = map[job.TaskID]int{}
	sim.stageWaits = map[string]StageWaiting{}
	sim.finished, sim.finishedAt = map[string]JobFinished{}, map[string]time.Duration{}
	for i := range runners {
		r := &fakeRunner{sim: sim, incarnation: 1, runs: map[runKey]*fakeRun{}, stoppedUpTo: map[job.TaskID]int{}}
		r.info = RunnerInfo{
			ID: fmt.Sprintf("r%02d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Service: "orders",
			Rack: fmt.Sprintf("rack%d", i/4), Labels: []string{"a"}, Capacity: model.Resources{CoresMilli: 8000, MemoryMB: 8000},
		}
		sim.runners[r.info.ID] = r
	}
	sim.takeover()
	return sim
}

func testConfig() Config {
	return Config{
		RunLease: 4500 * time.Millisecond, MaxLease: 10 * time.Second, ClockDrift: 0.02, LeaseExpiryMargin: 300 * time.Millisecond,
		StopTimeout: 200 * time.Millisecond, OwnerLease: 3 * time.Second, StatusRetention: time.Hour,
	}
}

// takeover replaces the scheduler with that of a new owner, which knows only the durable records.
func (sim *simulation) takeover() {
	sim.term++
	sim.fences = map[string]int64{}
	sim.sched = New(testConfig(), sim.term, sim.now, sim.wall)
	sim.sched.SetQueues(sim.queues)
	if sim.tenants != nil {
		sim.sched.SetTenants(sim.version, sim.tenants)
	}
	sim.sched.Dispatcher().SetMachines([]string{"m1", "m2", "m3"})
	if sim.term > 1 {
		for _, r := range sim.runners {
			if !r.delisted {
				sim.sched.RunnerInherited(r.info.ID, r.info.Addr)
			}
		}
	}
	for _, r := range sim.records {
		sim.sched.Restore(r)
	}
	sim.sched.RestoreDone()
	sched := sim.sched
	for _, r := range sim.runners {
		if !r.delisted {
			sim.sched.RunnerListed(r.info)
			sim.afterFunc(time.Millisecond, func() { sim.poll(sched, r, 0) })
		}
	}
	sim.sched.DiscoveryRead()
}

func (sim *simulation) afterFunc(d time.Duration, do func()) {
	sim.pending = append(sim.pending, timedEvent{sim.now + d, do})
}

func (sim *simulation) fail(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now)+fmt.Sprintf(format, args...))
}

// logf adds a line to the trace, which tests search and print on failure.
func (sim *simulation) logf(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%s: ", sim.now)+fmt.Sprintf(format, args...))
}

// history returns the trace lines that contain a text.
func (sim *simulation) history(text string) []string {
	var out []string
	for _, line := range sim.trace {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// run advances the simulation in steps of 10 ms.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += 10 * time.Millisecond
		sim.wall = sim.wall.Add(10 * time.Millisecond)
		sim.sched.Advance(sim.now, sim.wall)
		due := sim.pending
		sim.pending = nil
		for _, e := range due {
			if e.at <= sim.now {
				e.do()
			} else {
				sim.pending = append(sim.pending, e)
			}
		}
		for _, r := range sim.runners {
			r.step()
		}
		sim.sched.Advance(sim.now, sim.wall)
		sim.sched.Tick()
		sim.applyEffects()
	}
}

func (sim *simulation) applyEffects() {
	for {
		sim.sched.Pass()
		effects := sim.sched.Effects()
		if len(effects) == 0 {
			break
		}
		for _, e := range effects {
			sim.apply(sim.sched, e)
		}
	}
	if sim.storeDown {
		return
	}
	sched := sim.sched
	for _, d := range sim.sched.TakeDirty(15, func(string) bool { return false }) {
		sim.afterFunc(10*time.Millisecond, func() {
			if sched != sim.sched {
				return // fenced off by the claim of a newer owner
			}
			sim.records[d.ID] = d.Record
			sched.MarkStored(d.ID, d.Version)
		})
	}
}

func (sim *simulation) apply(sched *Scheduler, effect Effect) {
	if _, ok := effect.(RequestAdvice); !ok {
		sim.logf("%T %+v", effect, effect)
	}
	switch e := effect.(type) {
	case StageWaiting:
		sim.stageWaits[e.Step.Job] = e
	case JobFinished:
		sim.finished[e.Job], sim.finishedAt[e.Job] = e, sim.now
	case StartRun:
		sim.start(sched, e)
	case StopRun:
		sim.stop(sched, e)
	case PollRunner:
		r := sim.runners[e.Runner.ID]
		sim.afterFunc(5*time.Millisecond, func() { sim.report(sched, r, sim.now) })
	case RequestAdvice:
		sim.afterFunc(e.Expected, func() {
			sched.Dispatcher().Done(e.Machine, e.Expected, sim.now, false)
			var eligible []EligibleRunner
			for _, ref := range e.Runners {
				if sim.isEligible(e, ref) {
					eligible = append(eligible, EligibleRunner{ID: ref.ID, Ticket: fmt.Sprint(e.Step)})
				}
			}
			sched.AdviceAnswered(e.Step, e.Runners, eligible, time.Second)
		})
	}
}

// isEligible reports whether the advice service approves a runner: half of the runners for all steps, unless the test sets
// another rule.
func (sim *simulation) isEligible(e RequestAdvice, ref RunnerRef) bool {
	if sim.eligible != nil {
		return sim.eligible(e.Step, ref.ID)
	}
	return (len(ref.ID)+int(ref.ID[2]))%2 == 0 || len(e.Runners) < 4
}

func (sim *simulation) start(sched *Scheduler, e StartRun) {
	if sim.now < sim.noSendUntil {
		sim.afterFunc(0, func() { sched.StartAnswered(e.Runner, e.Task, e.Run, StartNotSent) })
		return
	}
	r := sim.runners[e.Runner.ID]
	fence := sim.fence(r)
	lost := sim.faults && sim.rng.Intn(20) == 0 || r.unreachable
	delay := 5 * time.Millisecond
	if lost {
		delay = time.Duration(sim.rng.Intn(6000)) * time.Millisecond
		outcome := StartUnknown
		if sim.overloaded {
			outcome = StartUnsettled
		}
		sim.afterFunc(500*time.Millisecond, func() { sched.StartAnswered(e.Runner, e.Task, e.Run, outcome) })
	}
	until := sim.now + testConfig().RunLease
	key := runKey{e.Task, e.Run}
	sim.inFlight[key] = startInFlight{r, e.Runner.Incarnation, fence, until}
	sim.checkCap(e.Task.Job)
	sim.afterFunc(delay, func() {
		delete(sim.inFlight, key)
		if r.refuses != nil && !lost {
			if outcome, refused := r.refuses(); refused {
				sched.StartAnswered(e.Runner, e.Task, e.Run, outcome)
				return
			}
		}
		outcome := r.start(e, fence, until, lost)
		if !lost {
			sched.StartAnswered(e.Runner, e.Task, e.Run, outcome)
		}
	})
}

// maxRaises is above the number of times that the fence of a runner is raised in one term.
const maxRaises = 1000

// fence returns the fence of a call to a runner.
func (sim *simulation) fence(r *fakeRunner) int64 { return sim.term*maxRaises + sim.fences[r.info.ID] }

// deliver passes a report to the scheduler and raises the fence of a runner that has started again, as the owner does.
func (sim *simulation) deliver(sched *Scheduler, rep Report) {
	if sched.Report(rep) {
		sim.fences[rep.Runner]++
		sched.FenceRaised(rep.Runner)
	}
}

func (sim *simulation) stop(sched *Scheduler, e StopRun) {
	r := sim.runners[e.Runner.ID]
	fence := sim.fence(r)
	if r.unreachable || sim.faults && sim.rng.Intn(10) == 0 {
		return
	}
	sim.afterFunc(5*time.Millisecond, func() {
		if fence < r.fence || r.ended || e.Runner.Incarnation != r.incarnation {
			return
		}
		r.stop(runKey{e.Task, e.Run})
		sched.StopAnswered(e.Runner, e.Task, e.Run)
	})
}

// poll delivers reports periodically, as the owner's polls do.
func (sim *simulation) poll(sched *Scheduler, r *fakeRunner, acked int64) {
	if sched != sim.sched {
		return
	}
	if r.ended {
		sim.pollEnded(sched, r)
		return
	}
	if r.unreachable {
		sched.RunnerUnreachable(r.ref(), ContactLoss{Reason: "no answer"})
		sim.afterFunc(200*time.Millisecond, func() { sim.poll(sched, r, acked) })
		return
	}
	if fence := sim.fence(r); fence >= r.fence {
		r.fence = fence
		r.leaseExpiresAt = max(r.leaseExpiresAt, sim.now+testConfig().RunLease)
		sched.LeaseSent(r.info.ID)
		r.discardEnds(acked)
		sim.report(sched, r, sim.now)
	}
	sim.afterFunc(50*time.Millisecond, func() { sim.poll(sched, r, sched.Acknowledged(r.info.ID)) })
}

// report delivers a report of a runner. With faults it is sometimes delayed, so that later reports overtake it.
func (sim *simulation) report(sched *Scheduler, r *fakeRunner, sent time.Duration) {
	if r.unreachable || r.ended {
		return
	}
	rep := Report{Runner: r.info.ID, Addr: r.info.Addr, Incarnation: r.incarnation, Clock: int64(sim.now), RequestedAt: sent, FenceGeneration: sched.FenceGeneration(r.info.ID)}
	for key := range r.runs {
		usage := -1
		if sim.usage != nil {
			usage = sim.usage(key.task, r.info.ID)
		}
		rep.Running = append(rep.Running, RunningRun{Task: key.task, Run: key.run, Usage: usage})
	}
	rep.Ended = append(rep.Ended, r.ends...)
	if sim.faults && sim.rng.Intn(5) == 0 {
		sim.afterFunc(time.Duration(sim.rng.Intn(100))*time.Millisecond, func() { sim.deliver(sched, rep) })
		return
	}
	sim.deliver(sched, rep)
}

// submit submits a job with a random queue and random steps.
func (sim *simulation) submit(id string) {
	spec := job.Spec{ID: id, Queue: sim.queues[0].Name, ConfigVersion: sim.version}
	if len(sim.tenants) > 0 {
		spec.Tenant = sim.tenants[sim.rng.Intn(len(sim.tenants))].Name
	}
	if len(sim.queues) > 1 {
		spec.Queue = sim.queues[sim.rng.Intn(len(sim.queues))].Name
	}
	for i := range 1 + sim.rng.Intn(2) {
		step := job.Step{
			Count: 1 + sim.rng.Intn(5), Need: model.Resources{CoresMilli: int64(500 + sim.rng.Intn(3000)), MemoryMB: 1000}, Estimate: sim.estimate,
			Gang: sim.rng.Intn(3) == 0, Checkpoints: sim.rng.Intn(2) == 0, Speculative: sim.rng.Intn(5) == 0,
		}
		if i > 0 {
			step.After = []int{0}
		}
		spec.Steps = append(spec.Steps, step)
	}
	sim.specs[id] = spec
	sim.sched.Submit(spec)
}

// containsStart reports whether a trace line records the start of a task.
func containsStart(line, task string) bool {
	return strings.Contains(line, "StartRun") && strings.Contains(line, "Task:"+task+" ")
}

// reportViolations reports the violations of invariants.
func (sim *simulation) reportViolations(t interface{ Error(args ...any) }) {
	for _, violation := range sim.violations {
		t.Error(violation)
	}
}

// removeAdvice makes all runners eligible for the work of the given queues.
func (sim *simulation) removeAdvice(queues ...string) {
	for i := range sim.queues {
		if slices.Contains(queues, sim.queues[i].Name) {
			sim.queues[i].Advice = nil
		}
	}
	sim.sched.SetQueues(sim.queues)
}

// mustFinish runs the simulation for the given time, and checks that all jobs have finished and that no invariant was
// violated.
func (sim *simulation) mustFinish(t *testing.T, within time.Duration) {
	t.Helper()
	sim.run(within)
	if left := sim.sched.Stats().ActiveJobs; left > 0 {
		t.Errorf("%d jobs have not finished", left)
	}
	sim.reportViolations(t)
}
