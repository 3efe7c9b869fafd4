package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestUnsentStartsBlameNoRunner guards against sound runners that are quarantined, gangs that are stopped and runs that
// count as failed because the owner itself had no free descriptor to send their start requests (load pattern: an owner
// out of local resources).
func TestUnsentStartsBlameNoRunner(t *testing.T) {
	sim := newMixedSimulation(3, 8)
	sim.noSendUntil = sim.now + time.Second
	sim.submitStep("gang", "a000000000000001", job.Step{Count: 6, Need: model.Resources{CoresMilli: 4000}, Estimate: 400, Gang: true})
	sim.submitStep("fill", "a000000000000002", job.Step{Count: 2, Need: model.Resources{CoresMilli: 1000}, Estimate: 400})
	sim.run(900 * time.Millisecond)
	for _, text := range []string{"quarantined", "StopRun", "RunEnded"} {
		if lines := sim.history(text); len(lines) > 0 {
			t.Errorf("while nothing can be sent: %q", lines)
		}
	}
	sim.mustFinish(t, 3*time.Second)
	for _, id := range []string{"a000000000000001", "a000000000000002"} {
		if state, _ := sim.sched.State(id); state != job.Done {
			t.Errorf("%s: state %q", id, state)
		}
	}
}

// TestUnsentStartThatIsStopped guards against a start request that is sent after its run has been stopped.
func TestUnsentStartThatIsStopped(t *testing.T) {
	sim := newMixedSimulation(4, 2)
	sim.noSendUntil = sim.now + 500*time.Millisecond
	const id = "a000000000000001"
	sim.submitStep("fill", id, job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 400})
	sim.run(300 * time.Millisecond)
	sim.sched.Cancel(id)
	sim.run(time.Second)
	if begun := sim.history("begins on"); len(begun) > 0 {
		t.Errorf("a cancelled run was started: %q", begun)
	}
	for _, r := range sim.sched.runners {
		if len(r.runs) > 0 {
			t.Errorf("%s still charges the cancelled run", r.ID)
		}
	}
}
