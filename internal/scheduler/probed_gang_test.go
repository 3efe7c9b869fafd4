package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestGangProbesItsOnlyRunner guards against a gang that never starts because its only runner is probed after a fault: a probe is one
// run, nothing else runs there, and the gang needs room for several.
func TestGangProbesItsOnlyRunner(t *testing.T) {
	sim := newClaimSimulation(4, nil)
	only := sim.runners["r03"]
	only.info.Labels = append(only.info.Labels, "only")
	sim.sched.RunnerListed(only.info)
	sim.sched.runners["r03"].health.quarantine(sim.sched.now) // as when it refuses work
	sim.submitStep("gang", gangJob, job.Step{Count: 2, Need: cores(2), Estimate: 2000, Gang: true, RequiredLabel: "only"})
	sim.mustStart(t, minQuarantine+maxIdleWait, gangJob)
	sim.run(5 * time.Second)
	if sim.finished[gangJob].State != job.Done {
		t.Errorf("the gang is %q", sim.finished[gangJob].State)
	}
}

// TestGangKeepsAwayFromProbedRunners guards against a gang that is broken by a runner which is still faulty, although it fits without it
// once other runs have ended.
func TestGangKeepsAwayFromProbedRunners(t *testing.T) {
	sim := newClaimSimulation(4, nil)
	sim.submitStep("fill", occupantJob, job.Step{Count: 3, Need: cores(8), Estimate: 3000})
	sim.run(500 * time.Millisecond)
	for id, r := range sim.runners {
		if len(r.runs) == 0 {
			sim.sched.runners[id].health.quarantine(sim.sched.now)
		}
	}
	sim.submitStep("gang", gangJob, job.Step{Count: 2, Need: cores(4), Estimate: 1000, Gang: true})
	sim.run(2400 * time.Millisecond)
	if _, ok := sim.firstStarts[gangJob]; ok {
		t.Error("the gang has started on the runner that is being probed")
	}
	sim.mustStart(t, time.Second, gangJob)
}
