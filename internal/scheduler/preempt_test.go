package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestGangPreemptsCheckpointedRuns guards against a gang that waits until narrow tasks have ended on enough eligible
// runners at the same time, on a fleet that is full of long quotes which save checkpoints and have slack.
func TestGangPreemptsCheckpointedRuns(t *testing.T) {
	sim := newMixedSimulation(11, 8)
	for i := range 16 { // 10 s of work with an objective of 43 s, four times the cores of the eligible runners
		sim.submitStep("fill", fmt.Sprintf("f%015d", i), job.Step{
			Count: 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 10_000, Checkpoints: true,
		})
	}
	sim.run(2 * time.Second)
	sent := sim.now
	const gang = "g000000000000001"
	sim.submitStep("gang", gang, job.Step{Count: 6, Need: model.Resources{CoresMilli: 4000}, Estimate: 2000, Gang: true})
	sim.run(time.Second)
	began, ok := sim.firstStarts[gang]
	if !ok {
		t.Fatal("the gang has not started one second after its submission, its objective leaves 3.4s")
	}
	// A stop may take 200 ms and its report another 200 ms; advice takes 16 ms and storing the job 20 ms.
	if wait := began - sent; wait > 500*time.Millisecond {
		t.Errorf("the gang waits %s", wait)
	}
	sim.mustFinish(t, 90*time.Second)
}

// TestNoUselessPreemption guards against preemptions that lose work or free capacity too late: runs that save no
// checkpoints, that are about to end, or whose job has no time to spare.
func TestNoUselessPreemption(t *testing.T) {
	for _, c := range []struct {
		name string
		step job.Step
	}{
		{"no checkpoints", job.Step{Estimate: 10_000}},
		{"about to end", job.Step{Estimate: 2400, Checkpoints: true}},
		{"no slack", job.Step{Estimate: 6000, Checkpoints: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newMixedSimulation(12, 8)
			if c.name == "no slack" { // 6 s of work and an objective of 10 s: from 2 s on less than 3 s are left to spare
				sim.queues[2].Stretch, sim.queues[2].Objective = 1, 4*time.Second
				sim.sched.SetQueues(sim.queues)
			}
			step := c.step
			step.Count, step.Need = 4, model.Resources{CoresMilli: 2000}
			for i := range 8 {
				sim.submitStep("fill", fmt.Sprintf("f%015d", i), step)
			}
			sim.run(2 * time.Second)
			sim.submitStep("gang", "g000000000000001", job.Step{Count: 6, Need: model.Resources{CoresMilli: 4000}, Estimate: 2000, Gang: true})
			sim.run(time.Second)
			if lines := sim.history("preempted"); len(lines) > 0 {
				t.Errorf("%d runs are preempted, the first: %s", len(lines), lines[0])
			}
		})
	}
}

// TestPreemptionOnUnreachableRunnerTimesOut guards against a gang whose reserved capacity stays idle because a runner
// never reports the end of its preempted run.
func TestPreemptionOnUnreachableRunnerTimesOut(t *testing.T) {
	sim := newMixedSimulation(13, 8)
	for i := range 16 {
		sim.submitStep("fill", fmt.Sprintf("f%015d", i), job.Step{
			Count: 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 10_000, Checkpoints: true,
		})
	}
	sim.run(2 * time.Second)
	sim.submitStep("gang", "g000000000000001", job.Step{Count: 6, Need: model.Resources{CoresMilli: 4000}, Estimate: 2000, Gang: true})
	for range 100 {
		if sim.run(10 * time.Millisecond); len(sim.history("preempted")) > 0 {
			break
		}
	}
	if len(sim.history("preempted")) == 0 {
		t.Fatal("nothing is preempted")
	}
	for _, r := range sim.sched.sortedRunners() {
		if len(r.sortedRuns(func(x *run) bool { return x.state == runStopping })) > 0 {
			sim.runners[r.ID].unreachable = true
			break
		}
	}
	sim.run(time.Second)
	for _, st := range sim.sched.stages {
		if st.job.spec.Queue == "gang" && st.reservedCount > 0 {
			t.Errorf("%d runs of the gang are still reserved", st.reservedCount)
		}
	}
}

// TestGangRequestsAdviceOnEnoughRunners guards against a gang that has queried too few runners to find enough runs that
// it may preempt, on a full fleet of which a quarter runs a task that saves checkpoints.
func TestGangRequestsAdviceOnEnoughRunners(t *testing.T) {
	sim := newMixedSimulation(14, 64)
	sim.queues[1].Advice = &AdvicePolicy{PerCall: 100 * time.Millisecond, PerRunner: 5 * time.Millisecond, TicketTTL: 2500 * time.Millisecond}
	sim.sched.SetQueues(sim.queues)
	for i, r := range sim.sched.sortedRunners() {
		info := sim.runners[r.ID].info
		if i%4 == 1 { // half of the eligible runners
			info.Labels = append(info.Labels, "saver")
		}
		sim.runners[r.ID].info = info
		sim.sched.RunnerListed(info)
	}
	narrow := model.Resources{CoresMilli: 2000}
	sim.submitStep("fill", "f000000000000001", job.Step{
		Count: 16, Need: narrow, Estimate: 10_000, Checkpoints: true, MaxPerRunner: 1, RequiredLabel: "saver",
	})
	sim.run(500 * time.Millisecond)
	sim.submitStep("fill", "f000000000000002", job.Step{Count: 32*4 - 16, Need: narrow, Estimate: 10_000})
	sim.run(1500 * time.Millisecond)
	if used := sim.sched.Stats().UsedCPU; used != 32*8000 {
		t.Fatalf("%d millicores are in use, want all cores of the eligible half", used)
	}
	const gang = "g000000000000001"
	sim.submitStep("gang", gang, job.Step{Count: 10, Need: narrow, Estimate: 2000, Gang: true})
	sim.run(3400 * time.Millisecond)
	if _, ok := sim.firstStarts[gang]; !ok {
		t.Error("the gang has not started within the 3.4s that its objective leaves")
	}
	sim.reportViolations(t)
}

// TestGangPreemptsLateRuns guards against a gang that waits for runs which should have ended long ago, as these count as about to end,
// although they save checkpoints and could be stopped.
func TestGangPreemptsLateRuns(t *testing.T) {
	sim := newClaimSimulation(4, map[string]time.Duration{occupantJob: time.Hour})
	sim.submitStep("fill", occupantJob, job.Step{Count: 4, Need: cores(6), Estimate: 1000, Checkpoints: true})
	sim.run(5 * time.Second)
	sim.submitStep("gang", gangJob, job.Step{Count: 4, Need: cores(4), Estimate: 2000, Gang: true})
	// The objective is 2.2 times 2 s plus 1 s, so the gang has to start within 3.4 s.
	sim.mustStart(t, 3400*time.Millisecond, gangJob)
}
