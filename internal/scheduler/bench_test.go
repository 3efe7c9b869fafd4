package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// BenchmarkPass measures a placement pass over a full fleet of 350 runners with 600 fill jobs and 120 gangs waiting, as
// in a load peak on the largest current deployment.
func BenchmarkPass(b *testing.B) {
	sim := newMixedSimulation(1, 350)
	for i := range 600 {
		sim.submitStep("fill", fmt.Sprintf("f%015d", i), job.Step{Count: 25, Need: model.Resources{CoresMilli: 1900}, Estimate: 20_000})
		if i%5 == 0 {
			sim.submitStep("gang", fmt.Sprintf("g%015d", i), job.Step{Count: 20, Need: model.Resources{CoresMilli: 4000}, Estimate: 20_000, Gang: true})
		}
	}
	sim.run(3 * time.Second)
	b.Logf("stats %+v", sim.sched.Stats())
	b.ResetTimer()
	for range b.N {
		sim.sched.needsPass = true
		sim.sched.Pass()
		sim.sched.Effects()
	}
}
