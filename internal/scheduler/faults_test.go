package scheduler

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestPromisesUnderFaults guards against a task that runs twice, a runner over its capacity and a job that never ends,
// while orders are lost or carried out late, reports overtake each other, runners restart or fall silent, and owners
// change. AGATEYARD_SCHED_SEEDS sets the number of seeds.
func TestPromisesUnderFaults(t *testing.T) {
	seeds := 60
	if text := os.Getenv("AGATEYARD_SCHED_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { playFaults(t, newWorld(int64(seed), 8)) })
		t.Run(fmt.Sprintf("%d preempts", seed), func(t *testing.T) {
			w := loadWorld(int64(seed), 8)
			w.failIn = 25
			w.estimate = 4000
			w.runFor = func(job.Step) time.Duration { return time.Duration(500+w.rng.Intn(8000)) * time.Millisecond }
			playFaults(t, w)
		})
	}
}

func playFaults(t *testing.T, w *world) {
	w.run(200 * time.Millisecond)
	w.faults = true
	jobs := 0
	for range 40 {
		for range w.rng.Intn(3) {
			jobs++
			w.submit(fmt.Sprintf("%016x", jobs))
		}
		r := w.runners[fmt.Sprintf("r%02d", w.rng.Intn(8))]
		switch w.rng.Intn(12) {
		case 0:
			r.restart()
		case 1:
			r.silent = true
			w.after(time.Duration(w.rng.Intn(8000))*time.Millisecond, func() { r.silent = false })
		case 2:
			w.takeover()
		case 3:
			w.sched.Cancel(fmt.Sprintf("%016x", 1+w.rng.Intn(jobs+1)))
		}
		w.run(200 * time.Millisecond)
	}
	w.faults = false
	// Seconds in proportion to the declared run time: what is left takes a few run times, with repeats.
	for range w.estimate / 5 {
		w.run(time.Second)
		if len(w.broken) > 0 || w.sched.Stats().ActiveJobs == 0 {
			break
		}
	}
	for _, b := range w.broken {
		t.Error(b)
	}
	if len(w.broken) > 0 {
		task := strings.Fields(w.broken[0])[1]
		t.Logf("history of %s:\n%s", task, strings.Join(w.history(task), "\n"))
		return
	}
	for id, j := range w.sched.jobs {
		if j.final != "" {
			continue
		}
		t.Errorf("job %s never ended", id)
		for _, st := range j.stages {
			for _, task := range st.tasks {
				if !task.done {
					t.Logf("  %s open=%v current=%+v good=%d", task.id(), st.open, task.current, len(st.advice.good))
				}
			}
		}
	}
}

// TestStartThatReachesTheNextLife guards against a second run of a task whose start was ordered to one life of a runner
// and carried out by the next, which lists it (soak seed 7).
func TestStartThatReachesTheNextLife(t *testing.T) {
	w := loadWorld(5, 1)
	r := w.runners["r00"]
	w.send("fill", "f000000000000001", job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 1000})
	w.run(30 * time.Millisecond) // ordered
	task := job.TaskID{StepID: job.StepID{Job: "f000000000000001"}}
	w.sched.StartAnswered("r00", task, 1, StartOK)
	w.sched.Effects()
	w.sched.Report(Report{
		Runner: "r00", Addr: r.info.Addr, Incarnation: r.born + 1, Clock: 1, RequestedAt: w.now,
		Ended: []EndedRun{{Seq: 1, Task: task, Run: 1, Outcome: EndDone}},
	})
	w.sched.Pass()
	for _, e := range w.sched.Effects() {
		if start, ok := e.(StartRun); ok {
			t.Errorf("ordered again: %+v", start)
		}
	}
	if state := w.sched.jobs["f000000000000001"].final; state != job.Done {
		t.Errorf("state %q, the new life has listed the end", state)
	}
}

// TestHeldRoomOnALeavingRunner guards against a run that is started on a runner which began to leave while its ticket
// was on its way (DRAIN, Kalnins grown trouble-3).
func TestHeldRoomOnALeavingRunner(t *testing.T) {
	w := loadWorld(6, 4)
	w.queues[1].Advice = &AdvicePolicy{PerCall: 700 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	w.sched.SetQueues(w.queues)
	for i := range 2 { // fills what the gang needs, so that its first tickets lapse
		w.send("fill", fmt.Sprintf("f%015d", i), job.Step{Count: 16, Need: model.Resources{CoresMilli: 1000}, Estimate: 3000})
	}
	w.run(100 * time.Millisecond)
	w.send("gang", "g000000000000001", job.Step{Count: 2, Need: model.Resources{CoresMilli: 8000}, Estimate: 1000, Gang: true})
	held := func() *run {
		for _, r := range w.sched.runners {
			for _, x := range r.runs {
				if x.state == runHeld {
					return x
				}
			}
		}
		return nil
	}
	for range 1000 {
		if held() != nil {
			break
		}
		w.run(10 * time.Millisecond)
	}
	x := held()
	if x == nil {
		t.Fatal("no room was ever held")
	}
	info := x.runner.RunnerInfo
	info.Draining = true
	w.sched.RunnerListed(info)
	drained := w.now
	w.run(5 * time.Second)
	for _, line := range w.history("StartRun") {
		if strings.Contains(line, info.ID) && startedAfter(line, drained) {
			t.Errorf("started on a runner that leaves: %s", line)
		}
	}
}

func startedAfter(line string, at time.Duration) bool {
	text, _, _ := strings.Cut(line, ": ")
	d, err := time.ParseDuration(text)
	return err == nil && d > at
}

// TestMostPerRunnerCountsRunsThatStop guards against more tasks of a step on a runner than allowed while one of them is
// being stopped and a copy has been started (ROUTE, Kalnins grown trouble-2).
func TestMostPerRunnerCountsRunsThatStop(t *testing.T) {
	w := loadWorld(7, 1)
	w.queues[2].Advice = nil
	w.sched.SetQueues(w.queues)
	w.send("fill", "f000000000000001", job.Step{
		Count: 3, Need: model.Resources{CoresMilli: 1000}, Estimate: 5000, MaxPerRunner: 2, Speculative: true,
	})
	w.run(100 * time.Millisecond)
	r := w.sched.runners["r00"]
	if len(r.runs) != 2 {
		t.Fatalf("%d runs, want 2", len(r.runs))
	}
	for key := range r.runs {
		r.runs[key].state = runStarting
		w.sched.StartAnswered("r00", key.task, key.run, StartUnknown)
		break
	}
	w.sched.needsPass = true
	w.sched.Pass()
	if len(r.runs) != 2 {
		t.Errorf("%d runs of the step on the runner, 2 are allowed", len(r.runs))
	}
}
