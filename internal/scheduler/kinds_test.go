package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestLongRunningTasksAreRestarted guards against a long-running task that is not restarted after its run has ended by
// itself, with outcome done.
func TestLongRunningTasksAreRestarted(t *testing.T) {
	sim := newMixedSimulation(9, 4)
	sim.removeAdvice("fill")
	sim.runFor = func(job.Step) time.Duration { return 500 * time.Millisecond } // ends by itself with outcome done
	const id = "f000000000000001"
	sim.submitStep("fill", id, job.Step{Count: 3, Need: model.Resources{CoresMilli: 1000}, LongRunning: true})
	for range 40 {
		sim.run(250 * time.Millisecond)
		runs := 0
		for _, r := range sim.sched.runners {
			runs += len(r.runs)
		}
		if runs != 3 {
			t.Fatalf("at %s: %d of 3 tasks have a run", sim.now, runs)
		}
	}
	if state, _ := sim.sched.State(id); state != job.Running {
		t.Errorf("state %q", state)
	}
	sim.sched.Cancel(id)
	sim.run(time.Second)
	for _, r := range sim.sched.runners {
		if len(r.runs) > 0 {
			t.Error("a task of the cancelled job still runs")
		}
	}
}

// TestOccurrencesStartOnTime guards against an occurrence that starts before it is due, is skipped because of a
// takeover, or runs again after a takeover.
func TestOccurrencesStartOnTime(t *testing.T) {
	sim := newMixedSimulation(10, 4)
	sim.removeAdvice("fill")
	first := sim.wall.Add(700 * time.Millisecond)
	spec := job.Spec{
		ID: "f000000000000001", Queue: "fill", Occurrences: 5, FirstStart: first.UnixMilli(), Interval: 1000,
		Steps: []job.Step{{Count: 2, Need: model.Resources{CoresMilli: 500}, Estimate: 200}, {Count: 1, Estimate: 100, After: []int{0}}},
	}
	sim.specs[spec.ID] = spec
	sim.sched.Submit(spec)
	starts := map[string]int{}
	seen := 0
	for i := range 80 {
		sim.run(100 * time.Millisecond)
		if i == 25 {
			sim.takeover()
		}
		for _, line := range sim.trace[seen:] {
			for k := range 5 {
				due := first.Add(time.Duration(k) * time.Second)
				name := job.TaskID{StepID: job.StepID{Job: spec.ID, Occurrence: k}}.String()
				if containsStart(line, name) {
					starts[name]++
					if sim.wall.Before(due) {
						t.Errorf("occurrence %d starts at %s, due at %s", k, sim.wall, due)
					}
				}
			}
		}
		seen = len(sim.trace)
	}
	for k := range 5 {
		name := job.TaskID{StepID: job.StepID{Job: spec.ID, Occurrence: k}}.String()
		if starts[name] != 1 {
			t.Errorf("occurrence %d was started %d times", k, starts[name])
		}
	}
	if state, _ := sim.sched.State(spec.ID); state != job.Done {
		t.Errorf("state %q after all occurrences", state)
	}
	sim.reportViolations(t)
}

// TestLabelsAndRacks guards against a task on a runner without the required label, and against a task placed outside
// the rack of its data although that rack has capacity.
func TestLabelsAndRacks(t *testing.T) {
	sim := newMixedSimulation(11, 8) // racks rack0 and rack1, all with label a
	sim.removeAdvice("fill")
	info := sim.runners["r05"].info
	info.Labels = []string{"b"}
	sim.runners["r05"].info = info
	sim.sched.RunnerListed(info)
	sim.submitStep("fill", "f000000000000001", job.Step{Count: 12, Need: model.Resources{CoresMilli: 1000}, Estimate: 1000, RequiredLabel: "b"})
	sim.submitStep("fill", "f000000000000002", job.Step{Count: 4, Need: model.Resources{CoresMilli: 500}, Estimate: 1000, DataRack: "rack0"})
	sim.run(200 * time.Millisecond)
	for _, r := range sim.sched.runners {
		for _, x := range r.runs {
			if x.task.stage.id.Job == "f000000000000001" && r.ID != "r05" {
				t.Errorf("%s runs on %s, which lacks the label", x.task.id(), r.ID)
			}
			if x.task.stage.id.Job == "f000000000000002" && r.Rack != "rack0" {
				t.Errorf("%s runs on %s, but the rack of its data has capacity", x.task.id(), r.Rack)
			}
		}
	}
	if n := len(sim.sched.runners["r05"].runs); n != 8 {
		t.Errorf("%d runs on the runner with the label, want 8, its capacity", n)
	}
}

// TestProbedRunnerWithExistingRuns guards against a runner that stays quarantined forever because its earlier runs
// never end, as on a fleet of long-running tasks of which some fail.
func TestProbedRunnerWithExistingRuns(t *testing.T) {
	sim := newMixedSimulation(12, 1)
	sim.removeAdvice("fill")
	sim.runFor = func(job.Step) time.Duration { return time.Hour }
	sim.submitStep("fill", "f000000000000001", job.Step{Count: 2, Need: model.Resources{CoresMilli: 500}, LongRunning: true})
	sim.run(200 * time.Millisecond)
	sim.sched.runners["r00"].health.quarantine(sim.now)
	sim.submitStep("fill", "f000000000000002", job.Step{Count: 3, Need: model.Resources{CoresMilli: 500}, LongRunning: true})
	sim.run(500 * time.Millisecond)
	if n := len(sim.sched.runners["r00"].runs); n != 2 {
		t.Fatalf("%d runs on a quarantined runner, want the 2 earlier ones", n)
	}
	sim.run(minQuarantine)
	if n := len(sim.sched.runners["r00"].runs); n != 3 {
		t.Fatalf("%d runs on a runner that is being probed, want one more", n)
	}
	sim.run(probeDuration + 500*time.Millisecond)
	if n := len(sim.sched.runners["r00"].runs); n != 5 {
		t.Errorf("%d runs after a successful probe, want all 5", n)
	}
}
