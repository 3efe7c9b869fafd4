package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestSuspectLeavesBusyRunner guards against a suspect that waits for the end of a run of others on the runner that is set apart for
// it, which takes far longer than expected, although other runners have become idle (rule LOST).
func TestSuspectLeavesBusyRunner(t *testing.T) {
	const runners, slow = 12, 60 * time.Second
	sim := newMixedSimulation(11, runners)
	sim.removeAdvice("urgent", "fill")
	sim.runFor = func(step job.Step) time.Duration {
		if step.Estimate == 1000 { // expected to end first
			return slow
		}
		return time.Duration(step.Estimate) * time.Millisecond
	}
	for i := range runners {
		step := job.Step{Count: 1, Need: model.Resources{CoresMilli: 7000}, Estimate: 4000}
		if i == 0 {
			step.Estimate = 1000
		}
		sim.submitStep("fill", fmt.Sprintf("f%015x", i), step)
	}
	sim.run(time.Second)
	const id = "a000000000000001"
	sim.submitStep("urgent", id, job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 500})
	suspect := sim.sched.jobs[id].stages[0].tasks[0]
	suspect.crashes = []job.Crash{{Runner: "lost", Run: 1, Suspects: 1, Started: true}}
	sim.sched.crashes.byTask[suspect] = nil
	sim.run(8 * time.Second)
	if state := sim.finished[id].State; state != job.Done {
		t.Errorf("the job is %q 8 s after its submission, with %d of %d runners idle for 4 s", state, runners-1, runners)
	}
}
