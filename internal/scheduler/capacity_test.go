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

// TestGangLeavesShrunkClaim guards against a gang that waits for runners which it has claimed although they have become too small
// for it, while less urgent work takes all others.
func TestGangLeavesShrunkClaim(t *testing.T) {
	sim := newMixedSimulation(6, 4)
	sim.removeAdvice("gang", "fill")
	sim.queues[1].Objective = time.Minute // it stays more urgent than the others
	sim.sched.SetQueues(sim.queues)
	for i := range 4 { // the first two runners become idle first
		sim.submitStep("fill", fmt.Sprintf("f%015x", i), job.Step{Count: 1, Need: model.Resources{CoresMilli: 8000}, Estimate: int64(3000 + 500*i)})
		sim.run(20 * time.Millisecond)
	}
	const gang = "b000000000000001"
	sim.submitStep("gang", gang, job.Step{Count: 2, Need: model.Resources{CoresMilli: 7000}, Estimate: 1000, Gang: true})
	sim.run(time.Second)
	claimed := sim.sched.stages[job.StepID{Job: gang}].claims
	if len(claimed) != 2 {
		t.Fatalf("%d runners are claimed, want 2", len(claimed))
	}
	for _, c := range claimed {
		sim.runners[c.runner.ID].setCapacity(4000)
	}
	for i := range 200 { // 10 s
		sim.submitStep("fill", fmt.Sprintf("e%015x", i), job.Step{Count: 1, Need: model.Resources{CoresMilli: 3000}, Estimate: 2000})
		sim.run(50 * time.Millisecond)
	}
	if _, ok := sim.firstStarts[gang]; !ok {
		t.Error("the gang has not started")
	}
}
