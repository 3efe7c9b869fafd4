package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// longQueue returns a scheduler with idle runners and many stored jobs of three queues, whose advice takes as long as on the
// large deployments.
func longQueue(jobs int) *simulation {
	const runners, machines = 540, 97
	sim := newMixedSimulation(1, runners)
	for i, a := range []struct{ call, perRunner float64 }{{9, 0.13}, {340, 4.9}, {130, 1.8}} { // milliseconds
		sim.queues[i].Advice = &AdvicePolicy{
			PerCall: time.Duration(a.call * float64(time.Millisecond)), PerRunner: time.Duration(a.perRunner * float64(time.Millisecond)), TicketTTL: 1500 * time.Millisecond,
		}
	}
	sim.sched.SetQueues(sim.queues)
	addresses := make([]string, machines)
	for i := range addresses {
		addresses[i] = fmt.Sprint("m", i)
	}
	sim.sched.Dispatcher().SetMachines(addresses)
	for i := range jobs {
		id := fmt.Sprintf("%016x", i+1)
		switch i % 10 {
		case 0:
			sim.submitStep("gang", id, job.Step{Count: 20, Need: model.Resources{CoresMilli: 4000}, Estimate: 5000, Gang: true})
		case 1, 2:
			sim.submitStep("fill", id, job.Step{Count: 19, Need: model.Resources{CoresMilli: 2000}, Estimate: 2700})
		default:
			sim.submitStep("urgent", id, job.Step{Count: 3, Need: model.Resources{CoresMilli: 2500}, Estimate: 640})
		}
		sim.sched.MarkStored(id, firstStoredVersion)
	}
	return sim
}

// firstStoredVersion is the version of a job's state when it has been accepted.
const firstStoredVersion = 1

// TestRefusedAdviceRequestsAreCheap guards against placement passes in which each of thousands of waiting stages searches the
// fleet for runners to ask about, although no machine is left to make the call (Kalnins large, trouble-1: passes of 300 ms, in
// which an owner with 6,000 waiting jobs started almost nothing).
func TestRefusedAdviceRequestsAreCheap(t *testing.T) {
	sim := longQueue(3000)
	for range 3 {
		sim.sched.Advance(sim.now+fullPassInterval, sim.wall)
		sim.now += fullPassInterval
		sim.sched.needsPass = true
		sim.sched.searches = 0
		sim.sched.Pass()
	}
	if limit := maxAdviceRefusals*len(sim.queues) + maxOverdueAttempts; sim.sched.searches > limit {
		t.Errorf("%d searches for runners in a pass without a free machine, want at most %d", sim.sched.searches, limit)
	}
	waiting := 0
	for _, st := range sim.sched.openStages {
		if st.waitingTasks() > 0 && st.advice.pending == 0 && st.advice.requests == 0 && st.advice.deferral.since == 0 {
			waiting++
		}
	}
	if waiting > 0 {
		t.Errorf("%d stages without a machine for their request are not counted as deferred", waiting)
	}
}

// BenchmarkLongQueue measures a placement pass over idle runners while thousands of jobs wait for advice.
func BenchmarkLongQueue(b *testing.B) {
	for _, jobs := range []int{1000, 3000, 6000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			sim := longQueue(jobs)
			sim.sched.SetStartBudget(4)
			b.ResetTimer()
			for range b.N {
				sim.now += 50 * time.Millisecond
				sim.sched.Advance(sim.now, sim.wall)
				sim.sched.needsPass = true
				sim.sched.Pass()
				sim.sched.Effects()
			}
		})
	}
}
