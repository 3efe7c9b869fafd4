package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestAdoptedRunsProveNothing guards against a new owner that takes the time at which it has found a run for the start of that run: a lasting
// task that fails then looks as if it had failed at once, and one that is done as if its runner had been sound since.
func TestAdoptedRunsProveNothing(t *testing.T) {
	t.Run("failure", func(t *testing.T) {
		sim := newClaimSimulation(4, nil)
		for i := range 4 { // of different jobs, on one runner
			sim.submitStep("fill", fmt.Sprintf("f%015x", i+1), job.Step{Count: 1, Need: cores(1), Estimate: 1000, LongRunning: true, RequiredLabel: "a"})
		}
		sim.run(5 * time.Second)
		sim.takeover()
		sim.run(300 * time.Millisecond)
		sim.trace = nil
		for _, r := range sim.runners {
			for _, x := range r.runs {
				x.endsAt, x.outcome = sim.now, EndFailed
			}
		}
		sim.run(300 * time.Millisecond)
		if lines := sim.history("Change:quarantined"); len(lines) > 0 {
			t.Errorf("a runner is accused for tasks that have lasted: %s", lines[0])
		}
		if n := len(sim.history("begins on")); n != 4 {
			t.Errorf("%d of 4 tasks were started again at once", n)
		}
	})
	t.Run("success", func(t *testing.T) {
		sim := newFaultSimulation(shortFault)
		long := "f00000000000000f"
		sim.work = func(task job.TaskID, _ int) (time.Duration, string) {
			if task.Job == long {
				return 3 * time.Second, EndDone
			}
			return 300 * time.Millisecond, EndDone
		}
		delete(sim.failsOneIn, "r03")
		sim.submitStep("fill", long, job.Step{Count: 1, Need: cores(1), Estimate: 3000, RequiredLabel: "only"})
		sim.run(500 * time.Millisecond) // before the fault
		sim.failsOneIn["r03"] = 1
		sim.queues[2].Attempts = 2
		sim.sched.SetQueues(sim.queues)
		sim.submitStep("fill", failedJob, job.Step{Count: 1, Need: cores(1), Estimate: 300, RequiredLabel: "only"})
		sim.run(time.Second)
		if sim.failures(failedJob) != 1 {
			t.Fatalf("%d failed runs, want 1", sim.failures(failedJob))
		}
		sim.takeover() // finds the long run, which is done during the fault
		sim.mustBeDone(t, shortFault+finishTime)
	})
}
