package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

const (
	// shortFault is how long a runner fails what it starts: the faults that the users' deployments name last for less.
	shortFault = 8 * time.Second
	// finishTime is within what time after a fault work that can run has to be at work again.
	finishTime = 14 * time.Second
	failedJob  = "f000000000000001"
)

// failures counts the runs of a job that have failed.
func (sim *simulation) failures(id string) int {
	n := 0
	for _, st := range sim.sched.stages {
		for _, task := range st.tasks {
			if task.stage.id.Job == id {
				n += len(task.failedRuns)
			}
		}
	}
	return n
}

// newFaultSimulation returns a simulation in which the work of failedJob fits on r03 only, the only runner with accelerators and with the
// label "only", and in which runs there fail for a while.
func newFaultSimulation(fault time.Duration) *simulation {
	sim := newClaimSimulation(4, map[string]time.Duration{occupantJob: time.Hour})
	only := sim.runners["r03"]
	only.info.Capacity.Accelerators = 8
	only.info.Labels = append(only.info.Labels, "only")
	sim.sched.RunnerListed(only.info)
	sim.failsOneIn = map[string]int{"r03": 1}
	sim.afterFunc(fault, func() { delete(sim.failsOneIn, "r03") })
	return sim
}

// labelOthers gives all runners but r03 a label.
func (sim *simulation) labelOthers() {
	for _, id := range []string{"r00", "r01", "r02"} {
		r := sim.runners[id]
		r.info.Labels = append(r.info.Labels, "others")
		sim.sched.RunnerListed(r.info)
	}
}

// mustBeDone checks that failedJob is done within the given time.
func (sim *simulation) mustBeDone(t *testing.T, within time.Duration) {
	t.Helper()
	sim.run(within)
	if state := sim.finished[failedJob].State; state != job.Done {
		t.Errorf("the job is %q after %d failed runs: %s", state, sim.failures(failedJob), sim.finished[failedJob].Reason)
	}
	sim.reportViolations(t)
}

// TestFailedTaskReturnsToItsOnlyRunner guards against a task that never starts again after it has failed on the only runner that can take it
// (review/3), and against one that uses up its attempts there while the runner is faulty for a short time.
func TestFailedTaskReturnsToItsOnlyRunner(t *testing.T) {
	accelerator := cores(1)
	accelerator.Accelerators = 1
	huge := cores(1)
	huge.MemoryMB = 6000
	for _, c := range []struct {
		name              string
		step              job.Step
		attempts          int
		occupant, sibling job.Step
		gang              job.Step
		advice, takeover  bool
	}{
		{name: "only runner with accelerators", step: job.Step{Count: 1, Need: accelerator, Estimate: 1000}, attempts: 3},
		{name: "with two attempts", step: job.Step{Count: 1, Need: accelerator, Estimate: 1000}, attempts: 2},
		{name: "without a limit of attempts", step: job.Step{Count: 1, Need: accelerator, Estimate: 1000}},
		{name: "only candidate", step: job.Step{Count: 1, Need: cores(1), Estimate: 1000, RequiredLabel: "only"}, attempts: 2},
		{name: "several tasks", step: job.Step{Count: 6, Need: accelerator, Estimate: 1000}, attempts: 3},
		{
			name: "others full of lasting tasks", step: job.Step{Count: 1, Need: cores(6), Estimate: 1000}, attempts: 3,
			occupant: job.Step{Count: 3, Need: cores(4), Estimate: 500, LongRunning: true, MaxPerRunner: 1},
		},
		{
			name: "others without memory", step: job.Step{Count: 1, Need: huge, Estimate: 1000}, attempts: 3,
			occupant: job.Step{Count: 3, Need: huge, Estimate: 500, LongRunning: true, MaxPerRunner: 1},
		},
		{name: "gang", step: job.Step{Count: 2, Need: accelerator, Estimate: 1000, Gang: true}, attempts: 3},
		{name: "gang with two attempts", step: job.Step{Count: 4, Need: cores(8), Estimate: 1000, Gang: true}, attempts: 2},
		{name: "queue with advice", step: job.Step{Count: 1, Need: accelerator, Estimate: 1000}, attempts: 2, advice: true},
		{name: "change of owner", step: job.Step{Count: 1, Need: accelerator, Estimate: 1000}, attempts: 2, takeover: true},
		{name: "gang and change of owner", step: job.Step{Count: 2, Need: accelerator, Estimate: 1000, Gang: true}, attempts: 2, takeover: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newFaultSimulation(shortFault)
			sim.queues[2].Attempts = c.attempts
			if c.advice {
				sim.queues[2].Advice = &AdvicePolicy{PerCall: 8 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
				sim.eligible = func(job.StepID, string) bool { return true }
			}
			sim.sched.SetQueues(sim.queues)
			if c.occupant.Count > 0 {
				sim.labelOthers()
				c.occupant.RequiredLabel = "others"
				sim.submitStep("fill", occupantJob, c.occupant)
				sim.run(200 * time.Millisecond)
			}
			sim.submitStep("fill", failedJob, c.step)
			sim.run(500 * time.Millisecond)
			if sim.failures(failedJob) == 0 && sim.finished[failedJob].State == "" {
				t.Fatal("no run has failed")
			}
			if c.takeover {
				sim.takeover()
			}
			sim.mustBeDone(t, shortFault+finishTime)
		})
	}
}

// TestLastAttemptAvoidsAllFaultyRunners guards against a task that uses up its attempts by going to and fro between two runners that are
// faulty for a short time.
func TestLastAttemptAvoidsAllFaultyRunners(t *testing.T) {
	for _, attempts := range []int{3, 4} {
		sim := newFaultSimulation(shortFault)
		sim.failsOneIn["r02"] = 1
		sim.afterFunc(shortFault, func() { delete(sim.failsOneIn, "r02") })
		sim.queues[2].Attempts = attempts
		sim.sched.SetQueues(sim.queues)
		for _, id := range []string{"r02", "r03"} {
			r := sim.runners[id]
			r.info.Labels = append(r.info.Labels, "pair")
			sim.sched.RunnerListed(r.info)
		}
		sim.submitStep("fill", failedJob, job.Step{Count: 1, Need: cores(1), Estimate: 1000, RequiredLabel: "pair"})
		sim.mustBeDone(t, shortFault+finishTime)
	}
}

// TestFailedTaskLeavesItsSiblingsAlone guards against tasks that never start because one of their step waits for another runner: they
// fit on the runner that it avoids only.
func TestFailedTaskLeavesItsSiblingsAlone(t *testing.T) {
	allAccelerators := cores(1)
	allAccelerators.Accelerators = 8
	sim := newFaultSimulation(0)
	failed := false
	sim.work = func(task job.TaskID, _ int) (time.Duration, string) {
		if task.Index == 0 && !failed {
			failed = true
			return 30 * time.Millisecond, EndFailed
		}
		return time.Second, EndDone
	}
	sim.submitStep("fill", failedJob, job.Step{Count: 5, Need: allAccelerators, Estimate: 1000})
	sim.run(1500 * time.Millisecond)
	if n := len(sim.runners["r03"].runs); n != 1 {
		t.Errorf("%d tasks run 1.5 s after one has failed", n)
	}
	sim.mustBeDone(t, 5*time.Second)
}

// TestFailedTaskBesideItsSiblings guards against a task that never starts again because the other runners hold as many of its step as they
// may.
func TestFailedTaskBesideItsSiblings(t *testing.T) {
	sim := newFaultSimulation(100 * time.Millisecond) // the first run on r03 fails
	sim.submitStep("fill", failedJob, job.Step{Count: 4, Need: cores(1), Estimate: 30_000, MaxPerRunner: 1})
	sim.run(maxIdleWait)
	for id, r := range sim.runners {
		if len(r.runs) != 1 {
			t.Errorf("%d tasks run on %s", len(r.runs), id)
		}
	}
	sim.mustBeDone(t, 31*time.Second)
}

// TestFailedTaskDoesNotWaitForAClaim guards against a task that waits for a gang to start and end, as the gang has claimed all runners but
// the one where the task has failed.
func TestFailedTaskDoesNotWaitForAClaim(t *testing.T) {
	sim := newFaultSimulation(shortFault)
	sim.labelOthers()
	sim.submitStep("gang", occupantJob, job.Step{Count: 1, Need: cores(4), Estimate: 60_000, RequiredLabel: "others"})
	sim.run(100 * time.Millisecond)
	sim.submitStep("gang", gangJob, job.Step{Count: 3, Need: cores(8), Estimate: 20_000, Gang: true, RequiredLabel: "others"})
	sim.run(100 * time.Millisecond)
	sim.submitStep("fill", failedJob, job.Step{Count: 1, Need: cores(6), Estimate: 100_000})
	sim.run(time.Second)
	if sim.failures(failedJob) == 0 {
		t.Fatal("no run has failed")
	}
	sim.run(shortFault + finishTime)
	if n := len(sim.runners["r03"].runs); n != 1 {
		t.Errorf("%d tasks run on the only runner that isn't claimed", n)
	}
	sim.reportViolations(t)
}

// TestTaskThatFailsByItself guards against a job that is shown as running for ever, or for longer than its attempts take, as its task fails
// by its own fault.
func TestTaskThatFailsByItself(t *testing.T) {
	accelerator := cores(1)
	accelerator.Accelerators = 1
	sim := newFaultSimulation(0)
	sim.work = func(job.TaskID, int) (time.Duration, string) { return 2 * time.Second, EndFailed }
	sim.submitStep("fill", failedJob, job.Step{Count: 1, Need: accelerator, Estimate: 1000})
	// Four attempts of two seconds each, with a wait of less than three between.
	sim.run(4*2*time.Second + 3*maxIdleWait)
	if state := sim.finished[failedJob].State; state != job.Failed {
		t.Errorf("the job is %q after %d failed runs", state, sim.failures(failedJob))
	}
}

// TestFailedTaskReturnsToSoundRunner guards against a last attempt that waits for ten seconds although its runner has shown that it is
// sound: the task fails by its own fault.
func TestFailedTaskReturnsToSoundRunner(t *testing.T) {
	accelerator := cores(1)
	accelerator.Accelerators = 1
	sim := newFaultSimulation(0)
	sim.queues[2].Attempts = 2
	sim.sched.SetQueues(sim.queues)
	sim.work = func(task job.TaskID, run int) (time.Duration, string) {
		if task.Job == failedJob && run < 1001 && sim.failures(failedJob) == 0 {
			return 100 * time.Millisecond, EndFailed
		}
		return 500 * time.Millisecond, EndDone
	}
	sim.submitStep("fill", failedJob, job.Step{Count: 1, Need: accelerator, Estimate: 1000})
	sim.run(time.Second)
	sim.submitStep("fill", "f000000000000002", job.Step{Count: 1, Need: accelerator, Estimate: 500})
	sim.mustBeDone(t, maxIdleWait)
}

// TestWaitForAnotherRunnerIsExplained guards against a task that waits after a failed run, without a line that says until when.
func TestWaitForAnotherRunnerIsExplained(t *testing.T) {
	accelerator := cores(1)
	accelerator.Accelerators = 1
	for name, step := range map[string]job.Step{
		"task": {Count: 1, Need: accelerator, Estimate: 1000},
		"gang": {Count: 2, Need: accelerator, Estimate: 1000, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFaultSimulation(shortFault)
			sim.queues[2].Attempts = 2
			sim.sched.SetQueues(sim.queues)
			sim.submitStep("fill", failedJob, step)
			sim.run(8 * time.Second)
			w := sim.stageWaits[failedJob]
			if w.Cause != "a run has failed lately on the runners with room" || w.RetryIn < 2*time.Second || w.RetryIn > 6*time.Second {
				t.Errorf("%+v", w)
			}
		})
	}
}
