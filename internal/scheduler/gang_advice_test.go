package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestGangStartsWhileAdviceIsInDemand guards against a gang that waits although half of the fleet is free: the eligible
// runners that it knows stay busy, it has just requested advice again in vain, and other jobs keep most machines in advice
// calls, so that its next request was up to 8 s away. Found on the benchmark day trouble-1 of the deployment large (rule
// LOST).
func TestGangStartsWhileAdviceIsInDemand(t *testing.T) {
	sim := newMixedSimulation(18, 128)
	sim.queues[1].Advice = &AdvicePolicy{PerCall: 800 * time.Millisecond, PerRunner: 16 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	sim.queues[2].Advice = &AdvicePolicy{PerCall: 180 * time.Millisecond, PerRunner: 2 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	sim.sched.SetQueues(sim.queues)
	sim.eligible = func(step job.StepID, runner string) bool { return xxhash.Sum64String(step.Job+runner)%2 == 0 }
	machines := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9"}
	sim.sched.Dispatcher().SetMachines(machines)
	const gang = "g000000000000001"
	for i := range 16 { // all cores
		sim.submitStep("fill", fmt.Sprintf("f0%014d", i), job.Step{Count: 32, Need: model.Resources{CoresMilli: 2000}, Estimate: 60_000})
	}
	sim.run(2 * time.Second)
	sim.submitStep("gang", gang, job.Step{Count: 10, Need: model.Resources{CoresMilli: 8000}, Estimate: 1000, Gang: true})
	sim.run(4 * time.Second)
	progress := sim.records[gang].Progress
	if len(progress) == 0 || len(progress[0].EligibleRunners) < 11 {
		t.Fatalf("the gang's eligible runners aren't recorded: %+v", progress)
	}
	progress[0].EligibleRunners = progress[0].EligibleRunners[:11]
	sim.takeover()
	sim.sched.Dispatcher().SetMachines(machines)
	runTick := func(tick int) {
		sim.submitStep("fill", fmt.Sprintf("f1%014d", tick), job.Step{Count: 1, Need: model.Resources{CoresMilli: 500}, Estimate: 300})
		sim.run(50 * time.Millisecond)
	}
	advice := func() *stageAdvice { return &sim.sched.stages[job.StepID{Job: gang}].advice }
	tick := 0
	for ; tick < 600 && (advice().requests < 2 || advice().pending > 0); tick++ {
		runTick(tick)
	}
	if advice().requests != 2 {
		t.Fatalf("%d requests after %d ticks, want 2", advice().requests, tick)
	}
	for _, r := range sim.sched.runners {
		if _, eligible := advice().ticketOf(r); eligible {
			continue
		}
		for _, x := range sim.runners[r.ID].runs {
			x.endsAt = sim.now
		}
	}
	for end := tick + 60; tick < end; tick++ { // 3 s
		runTick(tick)
	}
	if used, capacity := sim.sched.Stats().UsedCPU, sim.sched.Stats().CapacityCPU; used > capacity/2 {
		t.Fatalf("%d of %d millicores are in use, want half of the fleet free", used, capacity)
	}
	if _, ok := sim.firstStarts[gang]; !ok {
		t.Error("the gang has not started 3s after half of the fleet became free")
	}
}
