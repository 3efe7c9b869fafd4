package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// setCapacity changes the capacity that a runner reports in discovery. Runs that exist go on.
func (r *fakeRunner) setCapacity(cores int64) {
	r.info.Capacity.CoresMilli = cores
	r.sim.sched.RunnerListed(r.info)
}

// TestStartsFitChangedCapacity guards against a start that brings a runner over its capacity after it has shrunk: single tasks
// and gangs whose capacity was reserved before, with tickets to renew and with runs to preempt.
func TestStartsFitChangedCapacity(t *testing.T) {
	for seed := range 8 {
		sim := newMixedSimulation(int64(seed), 8)
		for i := range sim.queues {
			sim.queues[i].Advice = &AdvicePolicy{PerCall: 300 * time.Millisecond, TicketTTL: 500 * time.Millisecond}
		}
		sim.sched.SetQueues(sim.queues)
		for i := range 240 {
			switch sim.rng.Intn(12) {
			case 0:
				sim.submitStep("gang", fmt.Sprintf("b%015x", i), job.Step{Count: 4, Need: model.Resources{CoresMilli: 3000}, Estimate: 1000, Gang: true})
			case 1, 2:
				sim.submitStep("fill", fmt.Sprintf("c%015x", i), job.Step{Count: 5, Need: model.Resources{CoresMilli: 1500}, Estimate: 1500, Checkpoints: true})
			case 3, 4, 5:
				sim.submitStep("urgent", fmt.Sprintf("a%015x", i), job.Step{Count: 2, Need: model.Resources{CoresMilli: 1000}, Estimate: 400})
			case 6:
				r := sim.runners[fmt.Sprintf("r%02d", sim.rng.Intn(8))]
				r.setCapacity(int64(4000 + 4000*sim.rng.Intn(2)))
			}
			sim.run(50 * time.Millisecond)
		}
		for _, r := range sim.runners {
			r.setCapacity(8000)
		}
		sim.mustFinish(t, 60*time.Second)
	}
}

// TestShrunkRunnerIsUsedAgain guards against a runner that grows again and stays as good as full.
func TestShrunkRunnerIsUsedAgain(t *testing.T) {
	sim := newMixedSimulation(1, 1)
	sim.removeAdvice("fill")
	sim.runners["r00"].setCapacity(1000)
	sim.submitStep("fill", "f000000000000001", job.Step{Count: 8, Need: model.Resources{CoresMilli: 1000}, Estimate: 10_000})
	sim.run(time.Second)
	if n := len(sim.runners["r00"].runs); n != 1 {
		t.Errorf("%d runs on a runner for one", n)
	}
	sim.runners["r00"].setCapacity(8000)
	sim.run(time.Second)
	if n := len(sim.runners["r00"].runs); n != 8 {
		t.Errorf("%d runs on a runner for eight that has grown again", n)
	}
	sim.reportViolations(t)
}
