package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestLastingGangAvoidsFaultyRunner guards against a lasting gang that is started on the same faulty runner again and again, though it fits
// elsewhere: only gangs with counted attempts avoided the runners on which they had failed.
func TestLastingGangAvoidsFaultyRunner(t *testing.T) {
	sim := newFaultSimulation(time.Hour)
	sim.failsOneIn = map[string]int{"r00": 1}
	gang := job.Step{Count: 2, Need: cores(4), Estimate: 1000, LongRunning: true, Gang: true}
	sim.submitStep("fill", failedJob, gang)
	sim.run(3 * time.Second)
	if n := len(sim.history("simulation: " + failedJob + ".0.0.0 run")); n > 4 {
		t.Errorf("%d lines about the first member, want at most two starts with their ends", n)
	}
	working := 0
	for _, task := range sim.sched.jobs[failedJob].stages[0].tasks {
		if task.current != nil && task.current.state == runRunning && task.current.runner.ID != "r00" {
			working++
		}
	}
	if working != gang.Count {
		t.Errorf("%d of %d members work on sound runners", working, gang.Count)
	}
}
