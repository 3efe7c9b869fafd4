package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestGangTakesRoomOfWorkThatSaves guards against a gang that waits until narrow tasks have ended on enough good runners
// at one moment: the pattern is a fleet full of long quotes that save their progress and have time to spare.
func TestGangTakesRoomOfWorkThatSaves(t *testing.T) {
	w := loadWorld(11, 8)
	for i := range 16 { // 10 s of work with an objective of 43 s, twice the room of the good runners
		w.send("fill", fmt.Sprintf("f%015d", i), job.Step{
			Count: 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 10_000, Checkpoints: true,
		})
	}
	w.run(2 * time.Second)
	sent := w.now
	const gang = "g000000000000001"
	w.send("gang", gang, job.Step{Count: 6, Need: model.Resources{CoresMilli: 4000}, Estimate: 2000, Gang: true})
	w.run(time.Second)
	began, ok := w.began[gang]
	if !ok {
		t.Fatal("the gang has not begun a second after it came, its objective leaves 3.4s")
	}
	// A stop takes 200 ms and its report travels 200 ms; advice takes 16 ms and storing the job 20 ms.
	if wait := began - sent; wait > 500*time.Millisecond {
		t.Errorf("the gang waits %s", wait)
	}
	w.mustFinish(t, 90*time.Second)
}

// TestNothingIsPreemptedInVain guards against preemptions that cost work or come too late to help: runs that don't save, that
// are about to end, whose job has no time to spare, or that belong to work as urgent as the gang.
func TestNothingIsPreemptedInVain(t *testing.T) {
	for _, c := range []struct {
		name string
		step job.Step
	}{
		{"does not save", job.Step{Estimate: 10_000}},
		{"about to end", job.Step{Estimate: 2400, Checkpoints: true}},
		{"no time to spare", job.Step{Estimate: 1000, Checkpoints: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := loadWorld(12, 8)
			step := c.step
			step.Count, step.Need = 4, model.Resources{CoresMilli: 2000}
			for i := range 8 {
				w.send("fill", fmt.Sprintf("f%015d", i), step)
			}
			w.run(2 * time.Second)
			w.send("gang", "g000000000000001", job.Step{Count: 6, Need: model.Resources{CoresMilli: 4000}, Estimate: 2000, Gang: true})
			w.run(time.Second)
			if lines := w.history("preempted"); len(lines) > 0 {
				t.Errorf("%d runs are preempted, the first: %s", len(lines), lines[0])
			}
		})
	}
}

// TestRoomOfARunnerThatFallsSilentIsNotAwaited guards against a gang whose held room stands idle because a runner never
// tells that its preempted run has ended.
func TestRoomOfARunnerThatFallsSilentIsNotAwaited(t *testing.T) {
	w := loadWorld(13, 8)
	for i := range 16 {
		w.send("fill", fmt.Sprintf("f%015d", i), job.Step{
			Count: 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 10_000, Checkpoints: true,
		})
	}
	w.run(2 * time.Second)
	w.send("gang", "g000000000000001", job.Step{Count: 6, Need: model.Resources{CoresMilli: 4000}, Estimate: 2000, Gang: true})
	for range 100 {
		if w.run(10 * time.Millisecond); len(w.history("preempted")) > 0 {
			break
		}
	}
	if len(w.history("preempted")) == 0 {
		t.Fatal("nothing is preempted")
	}
	for _, r := range w.sched.sortedRunners() {
		if len(r.sortedRuns(func(x *run) bool { return x.state == runStopping })) > 0 {
			w.runners[r.ID].silent = true
			break
		}
	}
	w.run(time.Second)
	for _, st := range w.sched.stages {
		if st.job.spec.Queue == "gang" && st.held > 0 {
			t.Errorf("%d runs of the gang still hold room", st.held)
		}
	}
}

// TestGangKnowsEnoughRunners guards against a gang that has asked about too few runners to find one from which enough may
// be preempted: the pattern is a full fleet of which a quarter holds a task that saves its progress.
func TestGangKnowsEnoughRunners(t *testing.T) {
	w := loadWorld(14, 64)
	w.queues[1].Advice = &AdvicePolicy{PerCall: 100 * time.Millisecond, PerRunner: 5 * time.Millisecond, TicketTTL: 2500 * time.Millisecond}
	w.sched.SetQueues(w.queues)
	for i, r := range w.sched.sortedRunners() {
		info := w.runners[r.ID].info
		if i%4 == 1 { // half of the runners that are good for anything
			info.Labels = append(info.Labels, "saver")
		}
		w.runners[r.ID].info = info
		w.sched.RunnerListed(info)
	}
	narrow := model.Resources{CoresMilli: 2000}
	w.send("fill", "f000000000000001", job.Step{
		Count: 16, Need: narrow, Estimate: 10_000, Checkpoints: true, MaxPerRunner: 1, RequiredLabel: "saver",
	})
	w.run(500 * time.Millisecond)
	w.send("fill", "f000000000000002", job.Step{Count: 32*4 - 16, Need: narrow, Estimate: 10_000})
	w.run(1500 * time.Millisecond)
	if used := w.sched.Stats().UsedCPU; used != 32*8000 {
		t.Fatalf("%d thousandths of a core are in use, want all of the good half", used)
	}
	const gang = "g000000000000001"
	w.send("gang", gang, job.Step{Count: 10, Need: narrow, Estimate: 2000, Gang: true})
	w.run(3400 * time.Millisecond)
	if _, ok := w.began[gang]; !ok {
		t.Error("the gang has not begun within the 3.4s that its objective leaves")
	}
	for _, broken := range w.broken {
		t.Error(broken)
	}
}
