package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestGangsStartWhileAdviceIsShort guards against gangs that wait on a mostly idle fleet because each asks about many more
// runners than it needs: a quarter of the runners is eligible, six VMs make calls, and 200 gangs of 20 tasks wait. Seen when
// all VMs but six had left (rule LOST).
func TestGangsStartWhileAdviceIsShort(t *testing.T) {
	sim := newMixedSimulation(7, 350)
	for i := range sim.queues {
		sim.queues[i].Advice = &AdvicePolicy{PerCall: 442 * time.Millisecond, PerRunner: 6370 * time.Microsecond, TicketTTL: 1500 * time.Millisecond}
	}
	sim.sched.SetQueues(sim.queues)
	sim.eligible = func(step job.StepID, runner string) bool { return xxhash.Sum64String(step.Job+runner)%4 == 0 }
	sim.sched.Dispatcher().SetMachines([]string{"m1", "m2", "m3", "m4", "m5", "m6"})
	for _, r := range sim.runners {
		r.setCapacity(64_000)
	}
	sim.run(100 * time.Millisecond)
	const gangs = 200
	for i := range gangs {
		sim.submitStep("gang", fmt.Sprintf("b%015d", i), job.Step{Count: 20, Need: model.Resources{CoresMilli: 18_000}, Estimate: 1500, Gang: true})
	}
	start, busiest := sim.now, int64(0)
	for len(sim.firstStarts) < gangs && sim.now-start < 2*time.Minute {
		sim.run(100 * time.Millisecond)
		busiest = max(busiest, sim.sched.Stats().UsedCPU)
	}
	took := sim.now - start
	t.Logf("%d of %d gangs have started after %s, at most %d of %d cores in use", len(sim.firstStarts), gangs, took, busiest/1000, 350*64)
	if limit := 40 * time.Second; took > limit {
		t.Errorf("the gangs took %s to start, want at most %s", took, limit)
	}
	sim.reportViolations(t)
}
