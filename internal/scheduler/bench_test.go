package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/tenant"
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

// BenchmarkTenants measures a placement pass over a full fleet with 150,000 queued jobs, without tenants and with 43, and
// the memory that the scheduler holds.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{0, 43} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			before := heapInUse()
			sim := newShareSimulation(1, 350)
			var settings []tenant.Tenant
			for i := range tenants {
				x := tenant.Tenant{Name: fmt.Sprintf("t%02d", i), Weight: 1e6 / float64(i+1)}
				if i%4 == 0 {
					x.Cap = model.Resources{CoresMilli: 100_000}
				}
				settings = append(settings, x)
			}
			if tenants > 0 {
				sim.setTenants(settings...)
			}
			const jobs = 150_000
			for i := range jobs {
				spec := job.Spec{
					ID: fmt.Sprintf("%016x", i), Queue: sim.queues[i%3].Name,
					Steps: []job.Step{{Count: 5, Need: model.Resources{CoresMilli: 1900}, Estimate: 20_000, Gang: i%3 == 1}},
				}
				if tenants > 0 {
					spec.Tenant = settings[i%tenants].Name
				}
				sim.sched.Submit(spec)
				sim.sched.MarkStored(spec.ID, 1)
			}
			now := sim.now
			pass := func() {
				now += 5 * time.Millisecond
				sim.sched.Advance(now, sim.wall)
				sim.sched.needsPass = true
				sim.sched.Pass()
				sim.sched.Effects()
			}
			for range 40 {
				pass()
			}
			held := float64(heapInUse()-before) / (1 << 20)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				pass()
			}
			b.ReportMetric(held, "heap-MB")
			runtime.KeepAlive(sim)
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
