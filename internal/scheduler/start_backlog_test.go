package scheduler

import (
	"testing"
	"time"
)

// TestNoAdviceBeyondWhatCanStart guards against an owner with a narrow link whose advice calls take the link from its starts:
// each of a thousand waiting jobs got tickets again and again, which expired before the owner could use them, and a fleet
// of 350 runners was idle (Adwenpa, large VMs dark: 294 calls and 150 starts a second).
func TestNoAdviceBeyondWhatCanStart(t *testing.T) {
	const jobs, budget, pause = 1000, 4, 50 * time.Millisecond
	sim := longQueue(jobs)
	calls, starts := 0, 0
	for range 100 { // 5 s
		sim.now += pause
		sim.sched.Advance(sim.now, sim.wall)
		sim.sched.SetStartBudget(budget)
		sim.sched.needsPass = true
		sim.sched.Pass()
		sim.sched.SetStartBudget(0) // the starts of this pass are in flight
		for _, effect := range sim.sched.Effects() {
			switch e := effect.(type) {
			case StartRun:
				starts++
			case RequestAdvice:
				calls++
				var eligible []EligibleRunner
				for _, r := range e.Runners {
					eligible = append(eligible, EligibleRunner{ID: r.ID, Ticket: "t"})
				}
				sim.sched.Dispatcher().Done(e.Machine, e.Expected, sim.now, false)
				sim.sched.AdviceAnswered(e.Step, e.Runners, eligible, 1500*time.Millisecond)
			}
		}
	}
	if starts < 100*budget {
		t.Errorf("%d starts, want at least the %d that may be sent", starts, 100*budget)
	}
	if calls > starts {
		t.Errorf("%d advice calls for %d starts", calls, starts)
	}
}
