package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestWaitNamesQuarantine guards against a wait that the log puts down to runners that are missing, although they are in quarantine.
func TestWaitNamesQuarantine(t *testing.T) {
	sim := newFaultSimulation(time.Hour)
	sim.submitStep("fill", failedJob, job.Step{Count: 1, Need: cores(1), Estimate: 1000, RequiredLabel: "only"})
	for range 90 { // as when it refuses each start
		sim.sched.runners["r03"].health.quarantine(sim.now)
		sim.run(100 * time.Millisecond)
	}
	e, waited := sim.stageWaits[failedJob]
	if !waited {
		t.Fatal("no wait was reported")
	}
	if !strings.Contains(e.Cause, "quarantine") || e.RetryIn <= 0 || e.RetryIn > maxQuarantine {
		t.Errorf("cause %q, retry in %s", e.Cause, e.RetryIn)
	}
}
