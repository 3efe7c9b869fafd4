package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

const (
	occupantJob = "o000000000000001"
	gangJob     = "g000000000000001"
	// maxIdleWait is within what time work has to start that has room: "for 3 s, a job has nothing running" breaks LOST.
	maxIdleWait = 3 * time.Second
)

func cores(n int64) model.Resources { return model.Resources{CoresMilli: n * 1000} }

// newClaimSimulation returns a simulation of runners with 8 cores each whose runs take as long as lengths says, by job, or as
// estimated.
func newClaimSimulation(runners int, lengths map[string]time.Duration) *simulation {
	sim := newMixedSimulation(21, runners)
	sim.removeAdvice("urgent", "gang", "fill")
	sim.work = func(task job.TaskID, _ int) (time.Duration, string) {
		if length, ok := lengths[task.Job]; ok {
			return length, EndDone
		}
		step := sim.specs[task.Job].Steps[task.Step]
		if step.LongRunning {
			return time.Hour, EndDone
		}
		return step.EstimatedRunTime(), EndDone
	}
	return sim
}

// submitSmall submits jobs of one step each and returns their identifiers.
func (sim *simulation) submitSmall(queue, prefix string, count int, step job.Step) []string {
	var ids []string
	for i := range count {
		id := fmt.Sprintf("%s%015d", prefix, i)
		ids = append(ids, id)
		sim.submitStep(queue, id, step)
	}
	return ids
}

// mustStart checks that each of the jobs starts within the given time.
func (sim *simulation) mustStart(t *testing.T, within time.Duration, ids ...string) {
	t.Helper()
	sim.run(within)
	for _, id := range ids {
		if _, ok := sim.firstStarts[id]; !ok {
			t.Errorf("job %s has not started within %s", id, within)
		}
	}
	sim.reportViolations(t)
}

// TestGangThatCannotRunHoldsNothingBack guards against accepted work that doesn't start on an idle fleet because a gang claims room
// that isn't going to come free, as in review/2.
func TestGangThatCannotRunHoldsNothingBack(t *testing.T) {
	lasting := job.Step{Count: 1, Need: cores(4), Estimate: 500, LongRunning: true}
	late := job.Step{Count: 1, Need: cores(4), Estimate: 500}
	gang := job.Step{Count: 4, Need: cores(5), Estimate: 20_000, Gang: true}
	lastingGang := gang
	lastingGang.LongRunning = true
	whole := gang
	whole.Need = cores(8)
	sameRack := gang
	sameRack.SameRack = true
	for _, c := range []struct {
		name           string
		occupant, gang job.Step
		small          job.Step
		advice         bool
		takeover       bool
	}{
		{name: "beside a lasting task", occupant: lasting, gang: gang},
		{name: "beside a late run", occupant: late, gang: gang},
		{name: "beside a late run, after a change of owner", occupant: late, gang: gang, takeover: true},
		{name: "gang that lasts", occupant: lasting, gang: lastingGang},
		{name: "gang of whole runners", occupant: lasting, gang: whole},
		{name: "gang of one rack", occupant: lasting, gang: sameRack},
		{name: "gang of whole runners, late run", occupant: late, gang: whole},
		{name: "queue with advice", occupant: lasting, gang: gang, advice: true},
		{name: "long work", occupant: late, gang: whole, small: job.Step{Count: 1, Need: cores(1), Estimate: 600_000}},
		{name: "lasting work", occupant: late, gang: whole, small: job.Step{Count: 1, Need: cores(1), Estimate: 500, LongRunning: true}},
		{name: "small gang", occupant: lasting, gang: gang, small: job.Step{Count: 2, Need: cores(1), Estimate: 1000, Gang: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newClaimSimulation(4, map[string]time.Duration{occupantJob: time.Hour})
			if c.advice {
				sim.queues[2].Advice = &AdvicePolicy{PerCall: 8 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
				sim.eligible = func(job.StepID, string) bool { return true }
				sim.sched.SetQueues(sim.queues)
			}
			sim.submitStep("gang", occupantJob, c.occupant)
			sim.run(time.Second)
			sim.submitStep("gang", gangJob, c.gang)
			sim.run(4 * time.Second)
			if c.takeover {
				sim.takeover()
				sim.run(3 * time.Second)
			}
			if c.small.Count == 0 {
				c.small = job.Step{Count: 1, Need: cores(1), Estimate: 1000}
			}
			sim.mustStart(t, maxIdleWait, sim.submitSmall("fill", "f", 3, c.small)...)
			sim.run(30 * time.Second)
			sim.mustStart(t, maxIdleWait, sim.submitSmall("fill", "e", 3, c.small)...)
			if _, ok := sim.firstStarts[gangJob]; ok {
				t.Error("the gang has started, it doesn't wait for room")
			}
		})
	}
}

// TestBusyServiceKeepsNoOtherIdle guards against a gang that waits for a late run without a limit, because another service of the
// deployment is busy.
func TestBusyServiceKeepsNoOtherIdle(t *testing.T) {
	sim := newClaimSimulation(8, map[string]time.Duration{occupantJob: time.Hour})
	other := sim.queues[2]
	other.Name, other.Service = "other", "lookups"
	sim.queues = append(sim.queues, other)
	sim.sched.SetQueues(sim.queues)
	for _, r := range sim.runners {
		if r.info.Rack == "rack1" {
			r.info.Service = other.Service
			sim.sched.RunnerListed(r.info)
		}
	}
	sim.submitStep("other", "b000000000000001", job.Step{Count: 4, Need: cores(8), Estimate: 600_000})
	sim.submitStep("gang", occupantJob, job.Step{Count: 1, Need: cores(4), Estimate: 500})
	sim.run(time.Second)
	sim.submitStep("gang", gangJob, job.Step{Count: 4, Need: cores(8), Estimate: 20_000, Gang: true})
	sim.run(4 * time.Second)
	sim.mustStart(t, maxIdleWait, sim.submitSmall("fill", "f", 3, job.Step{Count: 1, Need: cores(1), Estimate: 1000})...)
	if used := sim.sched.Stats().UsedCPU; used < 4*8000 {
		t.Fatalf("%d millicores are in use, the other service isn't busy", used)
	}
}

// TestBusyServiceEndsClaims guards against work that waits without an end behind a gang that waits for a late run, as more than half of
// the service is in use for good.
func TestBusyServiceEndsClaims(t *testing.T) {
	sim := newClaimSimulation(4, map[string]time.Duration{occupantJob: time.Hour})
	sim.submitStep("gang", "b000000000000001", job.Step{Count: 4, Need: cores(5), Estimate: 500, LongRunning: true, MaxPerRunner: 1})
	sim.run(200 * time.Millisecond)
	sim.submitStep("gang", occupantJob, job.Step{Count: 1, Need: cores(2), Estimate: 500})
	sim.run(time.Second)
	sim.submitStep("gang", gangJob, job.Step{Count: 4, Need: cores(3), Estimate: 20_000, Gang: true})
	sim.run(maxUnderestimate * 500 * time.Millisecond)
	sim.mustStart(t, maxIdleWait, sim.submitSmall("fill", "f", 2, job.Step{Count: 1, Need: cores(1), Estimate: 600_000})...)
}

// TestLateClaimLetsOthersPass guards against work that waits for more than 3 s on an idle service behind a gang which should have started,
// as the gang has waited for long and so goes on waiting for a late run.
func TestLateClaimLetsOthersPass(t *testing.T) {
	sim := newClaimSimulation(4, map[string]time.Duration{occupantJob: time.Hour})
	sim.submitStep("gang", occupantJob, job.Step{Count: 1, Need: cores(4), Estimate: 30_000})
	sim.run(500 * time.Millisecond)
	sim.submitStep("gang", gangJob, job.Step{Count: 4, Need: cores(8), Estimate: 100_000, Gang: true})
	sim.run(30 * time.Second)
	sim.mustStart(t, maxIdleWait, sim.submitSmall("fill", "f", 2, job.Step{Count: 1, Need: cores(1), Estimate: 600_000})...)
	sim.mustStart(t, maxIdleWait, sim.submitSmall("fill", "e", 1, job.Step{Count: 2, Need: cores(1), Estimate: 600_000, Gang: true})...)
}

// TestLastingGangPassesAClaim guards against a gang of tasks that last which isn't at work for as long as another gang waits for room.
func TestLastingGangPassesAClaim(t *testing.T) {
	sim := newClaimSimulation(4, nil)
	sim.submitStep("gang", occupantJob, job.Step{Count: 1, Need: cores(4), Estimate: 60_000})
	sim.run(time.Second)
	sim.submitStep("gang", gangJob, job.Step{Count: 4, Need: cores(8), Estimate: 20_000, Gang: true})
	sim.run(time.Second)
	// Tasks that last have to be at work after 6 s.
	sim.mustStart(t, 6*time.Second, sim.submitSmall("fill", "f", 1, job.Step{Count: 2, Need: cores(1), Estimate: 500, Gang: true, LongRunning: true})...)
}

// TestClaimLeavesRoomBesideTheGang guards against long work that waits for a gang although the gang doesn't need the rest of its
// runners, and against a gang that starts later because of that work.
func TestClaimLeavesRoomBesideTheGang(t *testing.T) {
	for name, small := range map[string]job.Step{
		"long work":    {Count: 1, Need: cores(1), Estimate: 600_000},
		"lasting work": {Count: 1, Need: cores(1), Estimate: 500, LongRunning: true},
		"long gang":    {Count: 2, Need: cores(1), Estimate: 600_000, Gang: true},
		"short gang":   {Count: 2, Need: cores(3), Estimate: 1000, Gang: true},
		"short work":   {Count: 4, Need: cores(4), Estimate: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newClaimSimulation(4, nil)
			sim.submitStep("gang", occupantJob, job.Step{Count: 1, Need: cores(4), Estimate: 20_000})
			sim.run(time.Second)
			sim.submitStep("gang", gangJob, job.Step{Count: 4, Need: cores(5), Estimate: 20_000, Gang: true})
			sim.run(2 * time.Second)
			sim.mustStart(t, maxIdleWait, sim.submitSmall("fill", "f", 2, small)...)
			sim.run(10 * time.Second)
			sim.mustStart(t, 5*time.Second, gangJob)
		})
	}
}

// TestGangStartsBesideSmallWork guards against a gang that could run and starves, as work that lasts or is longer than estimated keeps
// taking the runners that it waits for.
func TestGangStartsBesideSmallWork(t *testing.T) {
	whole := job.Step{Count: 4, Need: cores(8), Estimate: 2000, Gang: true}
	t.Run("lasting work", func(t *testing.T) {
		sim := newClaimSimulation(4, nil)
		sim.submitStep("gang", occupantJob, job.Step{Count: 1, Need: cores(4), Estimate: 4000})
		sim.run(2500 * time.Millisecond)
		sim.submitStep("gang", gangJob, whole)
		sim.run(100 * time.Millisecond)
		// It may wait for two seconds, the gang can start in one and a half.
		lasting := sim.submitSmall("fill", "f", 2, job.Step{Count: 1, Need: cores(1), Estimate: 500, LongRunning: true})
		sim.mustStart(t, 2*time.Second, gangJob)
		sim.mustStart(t, 4*time.Second, lasting...)
	})
	t.Run("lasting work with other runners", func(t *testing.T) {
		sim := newClaimSimulation(8, nil)
		sim.submitStep("gang", occupantJob, job.Step{Count: 5, Need: cores(5), Estimate: 20_000})
		sim.run(2500 * time.Millisecond)
		sim.submitStep("gang", gangJob, whole)
		lasting := sim.submitSmall("fill", "f", 4, job.Step{Count: 1, Need: cores(1), Estimate: 500, LongRunning: true})
		sim.mustStart(t, maxIdleWait, lasting...)
		sim.mustStart(t, 18*time.Second, gangJob)
	})
	t.Run("long work", func(t *testing.T) {
		sim := newClaimSimulation(4, nil)
		sim.queues[1].Objective = 10 * time.Minute // it stays more urgent than the others
		sim.sched.SetQueues(sim.queues)
		for i := range 60 { // 300 s
			sim.submitStep("fill", fmt.Sprintf("f%015d", i), job.Step{Count: 1, Need: cores(1), Estimate: 60_000})
			if i == 10 {
				sim.submitStep("gang", gangJob, whole)
			}
			sim.run(5 * time.Second)
		}
		sim.mustStart(t, 0, gangJob)
	})
	for name, lengthOf := range map[string]func(sim *simulation) time.Duration{
		"ten times as long as estimated": func(*simulation) time.Duration { return 5 * time.Second },
		"one of 30 ten times as long": func(sim *simulation) time.Duration {
			if sim.rng.Intn(30) == 0 {
				return 5 * time.Second
			}
			return 500 * time.Millisecond
		},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newClaimSimulation(4, nil)
			sim.work = func(task job.TaskID, _ int) (time.Duration, string) {
				if task.Job == gangJob {
					return 2 * time.Second, EndDone
				}
				return lengthOf(sim), EndDone
			}
			for i := range 600 { // 60 s
				sim.submitStep("fill", fmt.Sprintf("f%015d", i), job.Step{Count: 1, Need: cores(1), Estimate: 500})
				if i == 50 {
					sim.submitStep("gang", gangJob, whole)
				}
				sim.run(100 * time.Millisecond)
			}
			sim.mustStart(t, 0, gangJob)
		})
	}
}

// TestClaimsAreExplained guards against a wait whose log line names neither the gang that others wait for nor what the gang itself
// waits for.
func TestClaimsAreExplained(t *testing.T) {
	waits := func(occupant job.Step) map[string]StageWaiting {
		sim := newClaimSimulation(4, nil)
		sim.submitStep("gang", occupantJob, occupant)
		sim.run(500 * time.Millisecond)
		sim.submitStep("gang", gangJob, job.Step{Count: 4, Need: cores(8), Estimate: 20_000, Gang: true})
		sim.run(100 * time.Millisecond)
		sim.submitStep("fill", "f000000000000001", job.Step{Count: 1, Need: cores(8), Estimate: 600_000})
		sim.run(8 * time.Second)
		return sim.stageWaits
	}
	expected := waits(job.Step{Count: 3, Need: cores(6), Estimate: 9000})
	if w := expected["f000000000000001"]; w.Cause != "a gang has claimed the free capacity" || w.Gang.Job != gangJob || w.GangStartsIn < time.Second || w.GangStartsIn > 8*time.Second {
		t.Errorf("behind a gang: %+v", w)
	}
	if w := expected[gangJob]; w.Cause != "too little free capacity" {
		t.Errorf("gang that will fit: %+v", w)
	}
	never := waits(job.Step{Count: 1, Need: cores(4), Estimate: 500, LongRunning: true})
	if w := never[gangJob]; w.Cause != "tasks that last, or runs that should have ended, hold the capacity" {
		t.Errorf("gang that can't run: %+v", w)
	}
}
