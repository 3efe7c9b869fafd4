package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestSuspectWaitsForNoLastingTask guards against a task that is suspected of crashing its runner, or a gang, which waits for ever for a
// runner without other runs, as tasks that last run on all of them.
func TestSuspectWaitsForNoLastingTask(t *testing.T) {
	for name, c := range map[string]struct {
		occupants, suspect job.Step
	}{
		"task beside lasting tasks": {
			job.Step{Count: 8, Need: cores(2), Estimate: 500, LongRunning: true, MaxPerRunner: 1},
			job.Step{Count: 1, Need: cores(2), Estimate: 20_000},
		},
		"task beside late runs": {
			job.Step{Count: 8, Need: cores(2), Estimate: 500, MaxPerRunner: 1},
			job.Step{Count: 1, Need: cores(2), Estimate: 20_000},
		},
		"gang beside lasting tasks": {
			job.Step{Count: 8, Need: cores(2), Estimate: 500, LongRunning: true, MaxPerRunner: 1},
			job.Step{Count: 2, Need: cores(2), Estimate: 20_000, Gang: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newClaimSimulation(8, map[string]time.Duration{occupantJob: time.Hour})
			sim.submitStep("fill", occupantJob, c.occupants)
			sim.run(time.Second)
			const suspect = "f000000000000001"
			sim.deadly = func(task job.TaskID) bool { return task.Job == suspect && task.Index == 0 && sim.crashes[task] == 0 }
			sim.submitStep("fill", suspect, c.suspect)
			runs := func() []*fakeRunner {
				return sim.runnersAt(func(info RunnerInfo) bool {
					for key := range sim.runners[info.ID].runs {
						if key.task.Job == suspect {
							return true
						}
					}
					return false
				})
			}
			kept := false
			for range 60 {
				sim.run(100 * time.Millisecond)
				for _, r := range sim.runners {
					if r.ended {
						r.info.Service = "elsewhere" // what answers at its address later is of no use
					}
				}
				kept = kept || sim.sched.isKeptApart(sim.sched.stages[job.StepID{Job: suspect}])
			}
			if !kept {
				t.Fatal("no task that waits is suspected of the crash")
			}
			sim.run(6 * time.Second)
			if len(runs()) == 0 {
				t.Error("the suspect has not started again 12s after it was submitted")
			}
			sim.reportViolations(t)
		})
	}
}

// TestSuspectLeavesRoomOnTheOnlyRunner guards against work that never starts because the only runner that fits is set apart for a task that is
// suspected of a crash, for as long as that task runs.
func TestSuspectLeavesRoomOnTheOnlyRunner(t *testing.T) {
	accelerator := cores(1)
	accelerator.Accelerators = 1
	t.Run("tasks", func(t *testing.T) {
		testRoomBesideSuspect(t, nil, job.Step{Count: 1, Need: accelerator, Estimate: 1000})
	})
	t.Run("gangs", func(t *testing.T) {
		testRoomBesideSuspect(t, nil, job.Step{Count: 2, Need: accelerator, Estimate: 1000, Gang: true})
	})
	advice := &AdvicePolicy{PerCall: 8 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	t.Run("tasks with advice", func(t *testing.T) {
		testRoomBesideSuspect(t, advice, job.Step{Count: 1, Need: accelerator, Estimate: 1000})
	})
	t.Run("gangs with advice", func(t *testing.T) {
		testRoomBesideSuspect(t, advice, job.Step{Count: 2, Need: accelerator, Estimate: 1000, Gang: true})
	})
}

func testRoomBesideSuspect(t *testing.T, advice *AdvicePolicy, other job.Step) {
	accelerator := cores(1)
	accelerator.Accelerators = 1
	const suspect = "f000000000000001"
	sim := newFaultSimulation(0)
	sim.queues[0].Advice = advice
	sim.eligible = func(job.StepID, string) bool { return true }
	sim.sched.SetQueues(sim.queues)
	sim.restartsInPlace = true
	sim.deadly = func(task job.TaskID) bool { return task.Job == suspect && sim.crashes[task] == 0 }
	sim.submitStep("fill", suspect, job.Step{Count: 1, Need: accelerator, Estimate: 600_000})
	sim.run(10 * time.Second)
	if n := len(sim.runners["r03"].runs); n != 1 {
		t.Fatalf("%d tasks run on the runner that has crashed", n)
	}
	if sim.sched.runners["r03"].isolation == nil {
		t.Fatal("the runner isn't set apart")
	}
	sim.mustStart(t, maxIdleWait, sim.submitSmall("urgent", "u", 2, other)...)
}

// TestSuspectDoesNotStarveOnSharedRunner guards against a suspect that never finds its only runner without the runs of others, as such
// runs keep coming.
func TestSuspectDoesNotStarveOnSharedRunner(t *testing.T) {
	accelerator := cores(1)
	accelerator.Accelerators = 1
	const suspect = "f000000000000001"
	sim := newFaultSimulation(0)
	sim.restartsInPlace = true
	sim.deadly = func(task job.TaskID) bool { return task.Job == suspect && sim.crashes[task] == 0 }
	sim.submitStep("fill", suspect, job.Step{Count: 1, Need: accelerator, Estimate: 600_000})
	for i := range 250 { // 25 s
		sim.submitSmall("urgent", string(rune('A'+i%20))+string(rune('A'+i/20)), 1, job.Step{Count: 1, Need: accelerator, Estimate: 1000})
		sim.run(100 * time.Millisecond)
	}
	for key := range sim.runners["r03"].runs {
		if key.task.Job == suspect {
			return
		}
	}
	t.Error("the suspect doesn't run")
}

// TestSuspectThatCannotRunHoldsNothingBack guards against work that never starts because a gang that is suspected of a crash looks for
// runners in vain, as one of those that it needs is lost for good.
func TestSuspectThatCannotRunHoldsNothingBack(t *testing.T) {
	accelerators := cores(1)
	accelerators.Accelerators = 8
	sim := newFaultSimulation(0)
	second := sim.runners["r02"]
	second.info.Capacity.Accelerators = 8
	sim.sched.RunnerListed(second.info)
	sim.deadly = func(task job.TaskID) bool { return task.Job == gangJob && task.Index == 0 && sim.crashes[task] == 0 }
	sim.submitStep("fill", gangJob, job.Step{Count: 2, Need: accelerators, Estimate: 600_000, Gang: true})
	for range 150 { // 15 s
		sim.run(100 * time.Millisecond)
		for _, r := range sim.runners {
			if r.ended {
				r.info.Service = "elsewhere" // what answers at its address later is of no use
			}
		}
	}
	if !sim.sched.isKeptApart(sim.sched.stages[job.StepID{Job: gangJob}]) {
		t.Fatal("no gang that waits is suspected of the crash")
	}
	one := cores(1)
	one.Accelerators = 1
	sim.mustStart(t, maxIdleWait, sim.submitSmall("urgent", "u", 2, job.Step{Count: 1, Need: one, Estimate: 1000})...)
}
