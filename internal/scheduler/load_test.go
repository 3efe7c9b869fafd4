package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// loadWorld has three kinds of work: urgent short jobs, wide gangs, and narrow tasks that fill the fleet.
func loadWorld(seed int64, runners int) *world {
	w := newWorld(seed, runners)
	advice := &AdvicePolicy{PerCall: 8 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	w.queues = []Queue{
		{Name: "urgent", Service: "orders", Priority: 0, Attempts: 2, Stretch: 1.5, Objective: 250 * time.Millisecond, Advice: advice},
		{Name: "gang", Service: "orders", Priority: 1, Attempts: 3, Stretch: 2.2, Objective: time.Second, Advice: advice},
		{Name: "fill", Service: "orders", Priority: 2, Attempts: 4, Stretch: 4, Objective: 3 * time.Second, Advice: advice},
	}
	w.failIn = 0
	w.runFor = func(step job.Step) time.Duration { return step.EstimatedRunTime() }
	w.term = 0
	w.takeover()
	w.run(200 * time.Millisecond)
	return w
}

func (w *world) send(queue, id string, step job.Step) {
	spec := job.Spec{ID: id, Queue: queue, Steps: []job.Step{step}}
	w.specs[id] = spec
	w.sched.Submit(spec)
}

// TestUrgentJobsOverAFullFleet guards against short urgent jobs that wait behind work which fills every runner: the
// pattern is a burst of lookups while quotes offer more than twice the fleet's room.
func TestUrgentJobsOverAFullFleet(t *testing.T) {
	w := loadWorld(1, 8)
	var waits []time.Duration
	sent := map[string]time.Duration{}
	for tick := range 300 { // 15 s
		if tick%2 == 0 {
			w.send("fill", fmt.Sprintf("f%015d", tick), job.Step{Count: 8, Need: model.Resources{CoresMilli: 2000}, Estimate: 2000})
		}
		id := fmt.Sprintf("u%015d", tick)
		sent[id] = w.now
		w.send("urgent", id, job.Step{Count: 1, Need: model.Resources{CoresMilli: 1000}, Estimate: 300})
		w.run(50 * time.Millisecond)
	}
	w.run(2 * time.Second)
	for id, at := range sent {
		began, ok := w.began[id]
		if !ok {
			t.Fatalf("urgent job %s never began", id)
		}
		waits = append(waits, began-at)
	}
	slices.Sort(waits)
	// An urgent job of 300 ms meets its objective of 700 ms if it waits less than 400 ms.
	if p90 := waits[len(waits)*9/10]; p90 > 400*time.Millisecond {
		t.Errorf("urgent jobs wait %s at the 90th percentile, their objective leaves 400ms", p90)
	}
	for _, broken := range w.broken {
		t.Error(broken)
	}
}

// TestWideGangBesideAFlood guards against a gang that never finds room at one moment: the pattern is a gang over most
// of its good runners while narrow tasks take each piece of room that comes free.
func TestWideGangBesideAFlood(t *testing.T) {
	w := loadWorld(2, 8)
	for tick := range 200 { // 10 s
		if tick%4 == 0 {
			w.send("fill", fmt.Sprintf("f%015d", tick), job.Step{Count: 10, Need: model.Resources{CoresMilli: 2000}, Estimate: 1500})
		}
		if tick == 40 {
			w.send("gang", "g000000000000001", job.Step{Count: 6, Need: model.Resources{CoresMilli: 4000}, Estimate: 2000, Gang: true})
		}
		w.run(50 * time.Millisecond)
	}
	began, ok := w.began["g000000000000001"]
	if !ok {
		t.Fatal("the gang never began")
	}
	// 2 s of work with a stretch of 2.2 and a second more are done in time if the gang begins within 3.4 s.
	sent := time.Second + 200*time.Millisecond + 40*50*time.Millisecond
	if wait := began - sent; wait > 3400*time.Millisecond {
		t.Errorf("the gang waits %s, its objective leaves 3.4s", wait)
	}
	for _, broken := range w.broken {
		t.Error(broken)
	}
}

// TestHopelessWorkStillRuns guards against work that is never placed because it is ranked last.
func TestHopelessWorkStillRuns(t *testing.T) {
	w := loadWorld(3, 8)
	for i := range 80 { // 3,200 core-seconds for the 32 cores of the good runners; objectives are 11 s
		w.send("fill", fmt.Sprintf("f%015d", i), job.Step{Count: 10, Need: model.Resources{CoresMilli: 2000}, Estimate: 2000})
	}
	w.run(3 * time.Minute)
	if left := w.sched.Stats().ActiveJobs; left > 0 {
		t.Errorf("%d jobs have not ended", left)
	}
}

// TestUrgentBeforeHopeless pins the order of urgency.
func TestUrgentBeforeHopeless(t *testing.T) {
	w := loadWorld(4, 0)
	w.send("fill", "f000000000000001", job.Step{Count: 1, Estimate: 1000})
	w.run(22 * time.Second) // past three times the objective of 7 s
	w.send("fill", "f000000000000002", job.Step{Count: 1, Estimate: 1000})
	w.send("gang", "g000000000000001", job.Step{Count: 1, Estimate: 1000})
	w.send("urgent", "u000000000000001", job.Step{Count: 1, Estimate: 1000})
	var order []string
	for _, r := range w.sched.rank() {
		order = append(order, r.stage.id.Job)
	}
	want := []string{"u000000000000001", "g000000000000001", "f000000000000002", "f000000000000001"}
	if !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}

// TestSuccessorRemembersGoodRunners guards against a new owner that asks about the whole fleet again for every gang that
// waits, while the runners stand idle: the pattern is a takeover in the middle of a backlog.
func TestSuccessorRemembersGoodRunners(t *testing.T) {
	w := loadWorld(8, 16)
	w.queues[1].Advice = &AdvicePolicy{PerCall: 400 * time.Millisecond, PerRunner: 6 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	w.sched.SetQueues(w.queues)
	for i := range 12 {
		w.send("gang", fmt.Sprintf("g%015d", i), job.Step{Count: 4, Need: model.Resources{CoresMilli: 6000}, Estimate: 2000, Gang: true})
	}
	w.run(4 * time.Second)
	waiting := w.sched.Stats().OpenStages
	if waiting < 4 {
		t.Fatalf("%d gangs wait, the load is too small", waiting)
	}
	asked := 0
	w.takeover()
	for range 100 {
		w.run(10 * time.Millisecond)
		for _, st := range w.sched.stages {
			if st.advice.calls > 0 {
				asked++
			}
		}
	}
	if asked > 0 {
		t.Errorf("the successor asks about runners that its predecessor knew (%d times seen)", asked)
	}
	w.mustFinish(t, 30*time.Second)
}

// TestLateUrgentJobsBesideInTimeWork guards against urgent jobs that starve once they are late: the pattern is a burst of
// lookups larger than the room that comes free within their objective, while quotes that are still in time fill the fleet.
func TestLateUrgentJobsBesideInTimeWork(t *testing.T) {
	w := loadWorld(7, 8)
	const burst = 15
	sent := map[string]time.Duration{}
	for tick := range 120 { // 6 s
		w.send("fill", fmt.Sprintf("f%015d", tick), job.Step{Count: 2, Need: model.Resources{CoresMilli: 2000}, Estimate: 1500})
		if tick == 40 {
			for i := range burst {
				id := fmt.Sprintf("u%015d", i)
				sent[id] = w.now
				w.send("urgent", id, job.Step{Count: 2, Need: model.Resources{CoresMilli: 2000}, Estimate: 300})
			}
		}
		w.run(50 * time.Millisecond)
	}
	served := 0
	for id, at := range sent {
		// A lookup of 300 ms has an objective of 700 ms and is worth something until three times that.
		if began, ok := w.began[id]; ok && began-at <= 3*700*time.Millisecond-300*time.Millisecond {
			served++
		}
	}
	if served < burst*9/10 {
		t.Errorf("%d of %d urgent jobs are served at all", served, burst)
	}
	for _, broken := range w.broken {
		t.Error(broken)
	}
}

// TestGangAsksOnWhileAdviceIsIdle guards against a gang that stands still although most of the fleet is free, since the few
// runners that its predecessor has recorded are busy and it waits ever longer before it asks about others (LOST, Kalnins
// grown scale-2, seed 559595792794): the pattern is the end of a backlog after a takeover.
func TestGangAsksOnWhileAdviceIsIdle(t *testing.T) {
	w := loadWorld(17, 128)
	w.queues[1].Advice = &AdvicePolicy{PerCall: 100 * time.Millisecond, PerRunner: 5 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	w.sched.SetQueues(w.queues)
	const gang = "g000000000000001"
	w.send("fill", "f000000000000001", job.Step{Count: 64 * 4, Need: model.Resources{CoresMilli: 2000}, Estimate: 5000})
	w.run(500 * time.Millisecond)
	w.send("gang", gang, job.Step{Count: 6, Need: model.Resources{CoresMilli: 8000}, Estimate: 2000, Gang: true})
	w.run(2 * time.Second)
	progress := w.records[gang].Progress
	if len(progress) == 0 || len(progress[0].EligibleRunners) < 7 {
		t.Fatalf("the gang's good runners aren't recorded: %+v", progress)
	}
	progress[0].EligibleRunners = progress[0].EligibleRunners[:7]
	for _, id := range progress[0].EligibleRunners {
		for _, x := range w.runners[id].runs {
			x.endsAt = w.now + time.Minute
		}
	}
	w.takeover()
	w.run(3500 * time.Millisecond) // the other runners are free half a second before
	if used, capacity := w.sched.Stats().UsedCPU, w.sched.Stats().CapacityCPU; used > capacity/4 {
		t.Fatalf("%d of %d thousandths of a core are in use, want most of the fleet free", used, capacity)
	}
	w.run(2500 * time.Millisecond)
	if _, ok := w.began[gang]; !ok {
		t.Error("the gang has not begun 3s after most of the fleet became free")
	}
}
