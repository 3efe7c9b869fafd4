package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// startOne returns a simulation with one run whose start has been sent and not answered, and that run.
func startOne(t *testing.T) (*simulation, *run) {
	t.Helper()
	sim := newMixedSimulation(5, 1)
	sim.removeAdvice("fill")
	sim.submitStep("fill", "f000000000000001", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 5000})
	sim.run(100 * time.Millisecond)
	for _, x := range sim.sched.runners["r00"].runs {
		x.state, x.startConfirmedAt = runStarting, 0
		return sim, x
	}
	t.Fatal("no run")
	return nil, nil
}

// unsettle gives a start up without an answer, and polls the runner unless it is unreachable.
func (sim *simulation) unsettle(x *run) {
	sim.sched.StartAnswered(x.runner.ref(), x.task.id(), x.number, StartUnsettled)
	for _, effect := range sim.sched.Effects() {
		sim.apply(sim.sched, effect)
	}
}

// TestUnsettledStartIsFound guards against a stop of a run that has started, only because the overloaded owner got the
// answer too late (Adwenpa scale-1: 1,000 stops by an owner at its limit).
func TestUnsettledStartIsFound(t *testing.T) {
	sim, x := startOne(t)
	sim.unsettle(x)
	sim.run(2 * time.Second)
	if x.state != runRunning || len(sim.history("StopRun")) > 0 {
		t.Errorf("state %d, stops %q", x.state, sim.history("StopRun"))
	}
}

// TestUnsettledStartIsNotThere guards against a task that runs twice: a start that no poll has found may still arrive, so
// the task waits, and its capacity stays charged, until the runner has confirmed a stop.
func TestUnsettledStartIsNotThere(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		sim, x := startOne(t)
		r := sim.runners["r00"]
		delete(r.runs, x.key()) // the request is still on its way
		sim.running[x.key().task]--
		r.unreachable = !reachable
		sim.sched.StartAnswered(x.runner.ref(), x.task.id(), x.number, StartUnsettled)
		sim.sched.Effects() // the poll is lost
		limit := settleTimeout + 200*time.Millisecond
		if reachable {
			sim.sched.Advance(sim.now+time.Millisecond, sim.sched.wall)
			sim.sched.Report(Report{
				Runner: "r00", Addr: x.runner.Addr, Incarnation: x.runner.incarnation, Clock: 1 << 40, RequestedAt: sim.sched.now,
			})
		} else {
			sim.sched.Advance(sim.now+limit, sim.sched.wall)
			sim.sched.Tick()
		}
		if x.state != runStopping || x.runner.runs[x.key()] != x || x.task.current != x {
			t.Errorf("reachable %v: state %d, charged %v", reachable, x.state, x.runner.runs[x.key()] == x)
		}
	}
}

// TestStartBudget guards against an owner that sends more starts than it can deliver, against a gang that is started in
// part, and against tasks that are forgotten while the budget was used up.
func TestStartBudget(t *testing.T) {
	sim := newMixedSimulation(6, 8)
	sim.removeAdvice("urgent", "gang", "fill")
	sim.submitStep("fill", "f000000000000001", job.Step{Count: 20, Need: model.Resources{CoresMilli: 100}, Estimate: 60_000})
	sim.submitStep("gang", "a000000000000001", job.Step{Count: 6, Need: model.Resources{CoresMilli: 100}, Estimate: 60_000, Gang: true})
	s := sim.sched
	for _, id := range []string{"f000000000000001", "a000000000000001"} {
		s.MarkStored(id, 1)
	}
	starts := func(budget int) (fill, gang int) {
		s.SetStartBudget(budget)
		s.Pass()
		for _, effect := range s.Effects() {
			if e, ok := effect.(StartRun); ok && e.Task.Job[0] == 'f' {
				fill++
			} else if ok {
				gang++
			}
		}
		return fill, gang
	}
	s.needsPass = true
	if fill, gang := starts(0); fill+gang > 0 {
		t.Errorf("%d starts without a budget", fill+gang)
	}
	total, gangs := 0, 0
	for range 6 {
		fill, gang := starts(5)
		if gang != 0 && gang != 6 {
			t.Errorf("%d members of the gang start", gang)
		}
		if fill > 5 || gang == 6 && fill > 0 && fill+gang > 10 {
			t.Errorf("%d and %d starts with a budget of 5", fill, gang)
		}
		total, gangs = total+fill, gangs+gang
		starts(0)
	}
	if total != 20 || gangs != 6 {
		t.Errorf("%d of 20 tasks and %d of 6 members have started", total, gangs)
	}
}
