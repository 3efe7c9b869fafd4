package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

const (
	// idleLimit is how long an accepted job may have nothing running while there is room for it.
	idleLimit = 3 * time.Second
	// lastingGrace is how long after its last run a task that lasts may wait before that holds for it.
	lastingGrace = 6 * time.Second
	// failingPrefix begins the identifiers of jobs whose runs always fail soon after their start.
	failingPrefix = "bad"
	// soundInterval is the interval at which sound jobs are submitted beside them.
	soundInterval = 1300 * time.Millisecond
)

// failingLoad is a simulation with jobs that always fail, beside a steady flow of sound ones.
type failingLoad struct {
	*simulation
	failAfter time.Duration
	halfFail  bool                     // of the tasks of a failing job, only those with an even index fail
	submitted map[string]time.Duration // sound jobs
	jobs      int
}

func newFailingLoad(seed int64, runners int) *failingLoad {
	l := &failingLoad{simulation: newMixedSimulation(seed, runners), failAfter: 100 * time.Millisecond, submitted: map[string]time.Duration{}}
	l.removeAdvice("urgent", "gang", "fill")
	l.work = func(task job.TaskID, _ int) (time.Duration, string) {
		if strings.HasPrefix(task.Job, failingPrefix) && (!l.halfFail || task.Index%2 == 0) {
			return l.failAfter, EndFailed
		}
		step := l.specs[task.Job].Steps[task.Step]
		if step.LongRunning {
			return time.Hour, EndDone
		}
		return step.EstimatedRunTime(), EndDone
	}
	return l
}

// submitFailing submits a job whose runs always fail.
func (l *failingLoad) submitFailing(queue string, step job.Step) {
	l.jobs++
	l.submitStep(queue, fmt.Sprintf("%s%013x", failingPrefix, l.jobs), step)
}

// runSound runs the simulation with a sound job each soundInterval.
func (l *failingLoad) runSound(d time.Duration, step job.Step) {
	for end := l.now + d; l.now < end; {
		l.submitSound(step)
		l.run(soundInterval)
	}
}

// submitSound submits a job whose runs are done.
func (l *failingLoad) submitSound(step job.Step) {
	l.jobs++
	id := fmt.Sprintf("50%014x", l.jobs)
	l.submitted[id] = l.now
	l.submitStep("gang", id, step)
}

// mustBegin checks that each sound job has begun within idleLimit.
func (l *failingLoad) mustBegin(t *testing.T) {
	t.Helper()
	late, never := 0, 0
	var longest time.Duration
	for id, at := range l.submitted {
		began, ok := l.firstStarts[id]
		if !ok {
			began = l.now
			if l.now-at > idleLimit {
				never++
			}
		}
		longest = max(longest, began-at)
		if began-at > idleLimit {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d sound jobs have waited for more than %s, %d of them until the end", late, len(l.submitted), idleLimit, never)
	}
	if late > 0 {
		t.Logf("longest wait of %d sound jobs: %s", len(l.submitted), longest)
	}
	l.reportViolations(t)
}

// mustSpaceRestarts checks that the restarts of a task that always fails are spaced, and that it is never away for longer than a
// task that lasts may be.
func (l *failingLoad) mustSpaceRestarts(t *testing.T, since time.Duration) {
	t.Helper()
	starts, last := map[string]int{}, map[string]time.Duration{}
	for _, line := range l.history("simulation: " + failingPrefix) {
		if !strings.Contains(line, "begins on") {
			continue
		}
		stamp, rest, _ := strings.Cut(line, ": simulation: ")
		at, err := time.ParseDuration(stamp)
		if err != nil {
			t.Fatal(err)
		}
		task, _, _ := strings.Cut(rest, " run ")
		starts[task]++
		if before, ok := last[task]; ok && at-before > lastingGrace+l.failAfter {
			t.Errorf("%s is started again after %s", task, at-before)
		}
		last[task] = at
	}
	most := 0
	for task, n := range starts {
		most = max(most, n)
		if away := l.now - last[task]; away > lastingGrace+l.failAfter {
			t.Errorf("%s has not been started for %s", task, away)
		}
	}
	// A fifth of the time at work is far more than a task that always fails can use.
	if limit := int((l.now - since) / (5 * l.failAfter)); most > limit {
		t.Errorf("a task that always fails was started %d times, limit %d", most, limit)
	}
	t.Logf("most starts of one of %d failing tasks: %d", len(starts), most)
}

// TestFailingTasksAccuseNoSoundRunners guards against tasks that fail wherever they run and so keep all runners in quarantine: sound
// jobs that are accepted meanwhile get no start (LOST, review/11).
func TestFailingTasksAccuseNoSoundRunners(t *testing.T) {
	sound := job.Step{Count: 2, Need: cores(2), Estimate: 600}
	small := cores(0)
	small.CoresMilli = 500
	lasting := job.Step{Count: 6, Need: small, Estimate: 1000, LongRunning: true}
	for _, c := range []struct {
		name     string
		runners  int
		failing  int // jobs that always fail
		step     job.Step
		queue    string
		label    bool // they and the sound jobs need the label of two runners
		slow     time.Duration
		takeover bool
		advice   bool
		repeat   bool // new ones come all the time
		half     bool // of their tasks fail, the others work
	}{
		{name: "two jobs that last", runners: 48, failing: 2, step: lasting},
		{name: "two jobs on few runners", runners: 4, failing: 2, step: lasting},
		{name: "two jobs that last, urgent", runners: 12, failing: 2, step: lasting, queue: "urgent"},
		{name: "they fail after a second", runners: 12, failing: 2, step: lasting, slow: time.Second},
		{name: "they fail after two seconds", runners: 12, failing: 2, step: lasting, slow: 2 * time.Second},
		{name: "one task each", runners: 12, failing: 8, step: job.Step{Count: 1, Need: small, Estimate: 1000, LongRunning: true}},
		{name: "wide jobs", runners: 24, failing: 2, step: job.Step{Count: 40, Need: cores(2), Estimate: 1000, LongRunning: true}},
		{name: "one a runner", runners: 12, failing: 3, step: job.Step{Count: 12, Need: small, Estimate: 1000, LongRunning: true, MaxPerRunner: 1}},
		{name: "half of the tasks fail", runners: 7, failing: 4, step: lasting, half: true},
		{name: "half of the tasks fail, one a runner", runners: 12, failing: 3, step: job.Step{Count: 12, Need: small, Estimate: 1000, LongRunning: true, MaxPerRunner: 1}, half: true},
		{name: "gangs that last", runners: 12, failing: 3, step: job.Step{Count: 4, Need: cores(2), Estimate: 1000, LongRunning: true, Gang: true}},
		{name: "jobs that end", runners: 7, failing: 2, step: job.Step{Count: 4, Need: small, Estimate: 1000}, repeat: true},
		{name: "gangs that end", runners: 7, failing: 1, step: job.Step{Count: 4, Need: small, Estimate: 1000, Gang: true}, repeat: true},
		{name: "two labelled runners", runners: 12, failing: 2, step: lasting, label: true},
		{name: "change of owner", runners: 12, failing: 2, step: lasting, takeover: true},
		{name: "queue with advice", runners: 12, failing: 2, step: lasting, advice: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newFailingLoad(5, c.runners)
			if c.slow > 0 {
				l.failAfter = c.slow
			}
			l.halfFail = c.half
			step, sound := c.step, sound
			if c.label {
				for _, id := range []string{"r02", "r03"} {
					r := l.runners[id]
					r.info.Labels = append(r.info.Labels, "pair")
					l.sched.RunnerListed(r.info)
				}
				step.RequiredLabel, sound.RequiredLabel = "pair", "pair"
			}
			if c.advice {
				for i := range l.queues {
					l.queues[i].Advice = &AdvicePolicy{PerCall: 8 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
				}
				l.eligible = func(step job.StepID, runner string) bool { return (len(step.Job)+int(runner[2]))%2 == 0 }
				l.sched.SetQueues(l.queues)
			}
			queue := c.queue
			if queue == "" {
				queue = "gang"
			}
			l.runSound(5*time.Second, sound)
			began := l.now
			for range c.failing {
				l.submitFailing(queue, step)
			}
			for range 8 {
				l.runSound(4*time.Second, sound)
				if c.takeover {
					l.takeover()
				}
				for range c.failing {
					if c.repeat {
						l.submitFailing(queue, step)
					}
				}
			}
			l.mustBegin(t)
			if step.LongRunning && !c.takeover && c.slow == 0 && !c.half {
				l.mustSpaceRestarts(t, began)
			}
		})
	}
}

// soundFailures returns how many runs of sound jobs have failed on a runner, and how many had before it was first quarantined.
func (l *failingLoad) soundFailures(runner string) (all, before int) {
	quarantined := false
	for _, line := range l.trace {
		switch {
		case strings.Contains(line, "RunnerChanged") && field(line, "Runner") == runner && strings.Contains(line, "Change:quarantined"):
			if !quarantined {
				before = all
			}
			quarantined = true
		case strings.Contains(line, "RunEnded") && field(line, "Runner") == runner && field(line, "Outcome") == EndFailed &&
			!strings.Contains(line, "Task:"+failingPrefix):
			all++
		}
	}
	return all, before
}

// TestFailingTasksAloneAreStartedAgain guards against lasting tasks that wait for longer than they may while all runners are in quarantine
// for their failures and no other work shows that these are sound, and against jobs that end which have nothing running for too long.
func TestFailingTasksAloneAreStartedAgain(t *testing.T) {
	small := cores(0)
	small.CoresMilli = 500
	for _, c := range []struct {
		name                   string
		runners, jobs, tasks   int
		lasting, gang, oneEach bool
	}{
		{name: "few runners", runners: 4, jobs: 2, tasks: 6, lasting: true},
		{name: "many tasks", runners: 2, jobs: 4, tasks: 8, lasting: true},
		{name: "one a runner", runners: 4, jobs: 3, tasks: 4, lasting: true, oneEach: true},
		{name: "gangs", runners: 2, jobs: 4, tasks: 3, lasting: true, gang: true},
		{name: "many runners", runners: 48, jobs: 2, tasks: 6, lasting: true},
		{name: "jobs that end", runners: 2, jobs: 4, tasks: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newFailingLoad(5, c.runners)
			step := job.Step{Count: c.tasks, Need: small, Estimate: 1000, LongRunning: c.lasting, Gang: c.gang}
			if c.oneEach {
				step.MaxPerRunner = 1
			}
			if !c.lasting {
				for i := range l.queues {
					l.queues[i].Attempts = 40
				}
				l.sched.SetQueues(l.queues)
			}
			began := l.now
			for range c.jobs {
				l.submitFailing("gang", step)
			}
			l.run(40 * time.Second)
			if c.lasting {
				l.mustSpaceRestarts(t, began)
			} else {
				l.mustNotIdle(t)
			}
			l.reportViolations(t)
		})
	}
}

// mustNotIdle checks that no failing job has had nothing running for longer than idleLimit until its end.
func (l *failingLoad) mustNotIdle(t *testing.T) {
	t.Helper()
	running, idleSince := map[string]int{}, map[string]time.Duration{}
	for _, line := range l.history("simulation: " + failingPrefix) {
		stamp, rest, _ := strings.Cut(line, ": simulation: ")
		at, err := time.ParseDuration(stamp)
		if err != nil {
			t.Fatal(err)
		}
		id := rest[:len(failingPrefix)+13]
		if strings.Contains(line, "ends on") {
			if running[id]--; running[id] == 0 {
				idleSince[id] = at
			}
			continue
		}
		if since, ok := idleSince[id]; ok && running[id] == 0 && at-since > idleLimit {
			t.Errorf("%s has had nothing running for %s", id, at-since)
		}
		running[id]++
	}
	for id, since := range idleSince {
		if running[id] == 0 && l.finished[id].State == "" && l.now-since > idleLimit {
			t.Errorf("%s has had nothing running for %s", id, l.now-since)
		}
	}
}

// faultyRunnerCost plays jobs of several sizes while some runners fail all that they start, beside jobs that always fail. It returns
// how many runs of sound jobs have failed there, how many of them before the first quarantine, and how many jobs were lost.
func faultyRunnerCost(t *testing.T, seed int64, failing, faulty int) (failed, unnoticed, lost int) {
	l := newFailingLoad(seed, 24)
	for range failing {
		l.submitFailing("gang", job.Step{Count: 6, Need: cores(1), Estimate: 1000, LongRunning: true})
	}
	step := func() job.Step {
		return job.Step{Count: 1 + l.rng.Intn(10), Need: cores(1 + int64(l.rng.Intn(3))), Estimate: 600 + int64(l.rng.Intn(2000))}
	}
	for range 6 {
		l.runSound(soundInterval, step())
	}
	l.failsOneIn = map[string]int{}
	for i := range faulty {
		l.failsOneIn[fmt.Sprintf("r%02d", i)] = 1 // equal runners are filled in this order
	}
	for range 6 {
		l.runSound(soundInterval, step())
	}
	for runner := range l.failsOneIn {
		all, before := l.soundFailures(runner)
		failed, unnoticed = failed+all, unnoticed+before
	}
	clear(l.failsOneIn)
	l.run(20 * time.Second)
	for _, f := range l.finished {
		if f.State != job.Done {
			lost++
		}
	}
	l.mustBegin(t)
	return failed, unnoticed, lost
}

// TestFaultyRunnerIsFoundBesideFailingTasks guards against a runner that fails all that it starts and is found later, or costs sound
// jobs more attempts, because tasks that fail everywhere are about.
func TestFaultyRunnerIsFoundBesideFailingTasks(t *testing.T) {
	const seeds = 20
	for _, faulty := range []int{1, 3} {
		var alone [3]int
		for _, failing := range []int{0, 1, 2, 4} {
			var sum [3]int
			for seed := range int64(seeds) {
				failed, unnoticed, lost := faultyRunnerCost(t, seed, failing, faulty)
				sum[0], sum[1], sum[2] = sum[0]+failed, sum[1]+unnoticed, sum[2]+lost
			}
			t.Logf("%d faulty runners, %d failing jobs: %d sound runs have failed there, %d of them before the first quarantine; %d jobs are lost", faulty, failing, sum[0], sum[1], sum[2])
			if failing == 0 {
				alone = sum
			}
			for i, what := range []string{"runs have failed", "runs have failed unnoticed", "jobs are lost"} {
				if sum[i] > alone[i]+alone[i]/10+1 { // other runs are placed elsewhere, so that the figures differ a little
					t.Errorf("%d faulty runners, %d failing jobs: %d sound %s, %d without such jobs", faulty, failing, sum[i], what, alone[i])
				}
			}
		}
	}
}

// TestLastingTaskRestartsAtOnce guards against a pause before the restart of a task that lasts and fails now and then, as such tasks may,
// or that has failed on a faulty runner.
func TestLastingTaskRestartsAtOnce(t *testing.T) {
	sim := newFaultSimulation(time.Hour)
	sim.runners["r03"].info.Labels = nil
	fails := 0
	sim.work = func(job.TaskID, int) (time.Duration, string) {
		if fails++; fails%2 == 1 {
			return 5 * time.Second, EndFailed
		}
		return time.Hour, EndDone
	}
	sim.submitStep("fill", failedJob, job.Step{Count: 1, Need: cores(1), Estimate: 1000, LongRunning: true})
	sim.run(20 * time.Second)
	var ended time.Duration
	for _, line := range sim.history("simulation: " + failedJob) {
		stamp, _, _ := strings.Cut(line, ": simulation: ")
		at, err := time.ParseDuration(stamp)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(line, "ends on") {
			ended = at
		} else if ended > 0 && at-ended > 200*time.Millisecond {
			t.Errorf("started %s after its last run", at-ended)
		}
	}
	if ended == 0 {
		t.Fatal("no run has ended")
	}
}

// TestShortFaultOfOnlyRunner guards against jobs that use up their attempts, or one after the other an attempt each, on the only runner that
// may run them while it is faulty for a short time.
func TestShortFaultOfOnlyRunner(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		sim := newFaultSimulation(6500 * time.Millisecond)
		sim.queues[2].Attempts = attempts
		sim.sched.SetQueues(sim.queues)
		const jobs = 16
		for i := range jobs {
			sim.submitStep("fill", fmt.Sprintf("f%015x", i+1), job.Step{Count: 1, Need: cores(1), Estimate: 500, RequiredLabel: "only"})
			sim.run(400 * time.Millisecond)
		}
		sim.run(finishTime)
		done := 0
		for _, f := range sim.finished {
			if f.State == job.Done {
				done++
			}
		}
		failed := len(sim.history("Outcome:" + EndFailed))
		t.Logf("%d attempts: %d of %d jobs are done, %d runs have failed", attempts, done, jobs, failed)
		if done != jobs {
			t.Errorf("%d attempts: %d of %d jobs are done", attempts, done, jobs)
		}
		// Those that accuse it, and a probe each two seconds.
		if limit := quarantineAfterJobs + 4; failed > limit {
			t.Errorf("%d attempts: %d runs have failed, limit %d", attempts, failed, limit)
		}
		sim.reportViolations(t)
	}
}
