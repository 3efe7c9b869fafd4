package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestLateGangGetsAdvice guards against a gang that waits without end for advice although most cores are free: it is so late that
// it is the least urgent stage, all runners are new to it, and more urgent jobs keep every machine in advice calls. Seen after a
// storm of runner crashes (rule LOST).
func TestLateGangGetsAdvice(t *testing.T) {
	sim := newMixedSimulation(5, 64)
	sim.queues[2].Advice = &AdvicePolicy{PerCall: 800 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	sim.sched.SetQueues(sim.queues)
	var fillers []string
	for i := range 16 { // all cores
		fillers = append(fillers, fmt.Sprintf("f0%014d", i))
		sim.submitStep("fill", fillers[i], job.Step{Count: 32, Need: model.Resources{CoresMilli: 1000}, Estimate: 60_000})
	}
	sim.run(6 * time.Second)
	const gang = "g000000000000001"
	sim.submitStep("gang", gang, job.Step{Count: 4, Need: model.Resources{CoresMilli: 6000}, Estimate: 1000, Gang: true})
	tick := 0
	runFor := func(d time.Duration) {
		for end := sim.now + d; sim.now < end; tick++ {
			sim.submitStep("fill", fmt.Sprintf("f1%014d", tick), job.Step{Count: 1, Need: model.Resources{CoresMilli: 100}, Estimate: 300})
			sim.run(50 * time.Millisecond)
		}
	}
	runFor(8 * time.Second)
	if _, ok := sim.firstStarts[gang]; ok {
		t.Fatal("the gang has started on a full fleet")
	}
	for _, id := range fillers {
		sim.sched.Cancel(id)
	}
	runFor(200 * time.Millisecond)
	for _, r := range sim.runners {
		r.restart()
	}
	runFor(3 * time.Second)
	if used, capacity := sim.sched.Stats().UsedCPU, sim.sched.Stats().CapacityCPU; used > capacity/2 {
		t.Fatalf("%d of %d millicores are in use, want half of the fleet free", used, capacity)
	}
	if _, ok := sim.firstStarts[gang]; !ok {
		t.Error("the gang has not started 3s after most of the fleet became free")
	}
}
