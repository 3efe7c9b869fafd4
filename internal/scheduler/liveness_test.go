package scheduler

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// TestWorkWithRoomStarts guards against accepted work that doesn't start although it could, in whatever state faults have left the
// scheduler: 14 s after the last fault, no job has nothing at work for 3 s while one of its steps is open, there is room for it twice
// over and less than half of the service is in use. AGATEYARD_SCHED_SEEDS sets the number of seeds.
func TestWorkWithRoomStarts(t *testing.T) {
	seeds := 200
	if text := os.Getenv("AGATEYARD_SCHED_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { checkLiveness(t, int64(seed)) })
	}
}

func checkLiveness(t *testing.T, seed int64) {
	l := newLivenessSimulation(seed)
	for i := range 100 { // 10 s
		if l.sim.rng.Intn(5) == 0 {
			l.submit(i)
		}
		if l.sim.rng.Intn(12) == 0 {
			l.fault()
		}
		l.sim.run(100 * time.Millisecond)
	}
	l.sim.run(shortFault + finishTime)
	idle := map[*stage]time.Duration{}
	for range 80 {
		l.sim.run(100 * time.Millisecond)
		for _, st := range l.sim.sched.openStages {
			if !l.couldStart(st) {
				delete(idle, st)
			} else if idle[st] += 100 * time.Millisecond; idle[st] > maxIdleWait {
				t.Errorf("%s waits for %s: %+v\nstep %+v", st.id, idle[st], l.sim.sched.describeWait(st), *st.step)
				delete(idle, st)
			}
		}
	}
	for id, f := range l.sim.finished {
		if f.State != job.Done && !l.faulty {
			t.Errorf("job %s is %s without a fault: %s", id, f.State, f.Reason)
		}
	}
	l.sim.reportViolations(t)
}

// livenessSimulation submits random work to a random fleet with random faults.
type livenessSimulation struct {
	sim    *simulation
	factor map[string]float64 // actual run time as a multiple of the estimate, by job
	faulty bool               // a runner has failed runs
}

func newLivenessSimulation(seed int64) *livenessSimulation {
	l := &livenessSimulation{sim: newMixedSimulation(seed, 4+int(seed%7)), factor: map[string]float64{}}
	sim := l.sim
	if seed%2 == 0 {
		sim.removeAdvice("urgent", "gang", "fill")
	}
	sim.eligible = func(job.StepID, string) bool { return true }
	sim.restartsInPlace = sim.rng.Intn(2) == 0
	sim.failsOneIn = map[string]int{}
	for _, r := range sim.sched.sortedRunners() {
		f := sim.runners[r.ID]
		if sim.rng.Intn(3) == 0 {
			f.info.Labels = append(f.info.Labels, "x")
		}
		if sim.rng.Intn(4) == 0 {
			f.info.Capacity.Accelerators = 4
		}
		sim.sched.RunnerListed(f.info)
	}
	sim.work = func(task job.TaskID, _ int) (time.Duration, string) {
		step := sim.specs[task.Job].Steps[task.Step]
		if step.LongRunning {
			return time.Hour, EndDone
		}
		return time.Duration(float64(step.EstimatedRunTime()) * l.factor[task.Job]), EndDone
	}
	return l
}

func (l *livenessSimulation) submit(i int) {
	rng := l.sim.rng
	step := job.Step{
		Count: 1 + rng.Intn(5), Need: model.Resources{CoresMilli: int64(500 * (1 + rng.Intn(16))), MemoryMB: int64(500 * rng.Intn(8))},
		Estimate: int64(200 * (1 + rng.Intn(25))), Gang: rng.Intn(3) == 0, LongRunning: rng.Intn(5) == 0, Checkpoints: rng.Intn(3) == 0,
	}
	if rng.Intn(4) == 0 {
		step.MaxPerRunner = 1
	}
	if rng.Intn(4) == 0 {
		step.RequiredLabel = "x"
	}
	if rng.Intn(4) == 0 {
		step.Need.Accelerators = 1
	}
	if step.LongRunning {
		step.Need.CoresMilli = min(step.Need.CoresMilli, 2000)
	}
	queue := l.sim.queues[rng.Intn(3)].Name
	id := fmt.Sprintf("%s%015d", queue[:1], i)
	l.factor[id] = []float64{0.1, 1, 1, 1, 3, 10, 1000}[rng.Intn(7)]
	l.sim.submitStep(queue, id, step)
}

func (l *livenessSimulation) fault() {
	sim := l.sim
	up := sim.runnersAt(func(RunnerInfo) bool { return true })
	if len(up) == 0 {
		return
	}
	r := up[sim.rng.Intn(len(up))]
	switch sim.rng.Intn(5) {
	case 0:
		r.crash()
	case 1:
		l.faulty = true
		sim.failsOneIn[r.info.ID] = 1
		sim.afterFunc(time.Duration(sim.rng.Intn(int(shortFault))), func() { delete(sim.failsOneIn, r.info.ID) })
	case 2:
		r.unreachable = true
		sim.afterFunc(time.Duration(sim.rng.Intn(int(shortFault))), func() { r.unreachable = false })
	case 3:
		sim.sched.runners[r.info.ID].health.quarantine(sim.now) // as when it refuses work
	case 4:
		sim.takeover()
	}
}

// couldStart reports whether the job of a stage has nothing at work although there is room for a task, or the gang, twice over and less than
// half of the service is in use, by what the runners themselves hold.
func (l *livenessSimulation) couldStart(st *stage) bool {
	if !st.open || st.finished() || st.job.finalState != "" {
		return false
	}
	var used, capacity int64
	need, copies := st.step.Reserved(), 0
	for _, r := range l.sim.runnersAt(func(RunnerInfo) bool { return true }) {
		free := r.info.Capacity
		siblings := 0
		for key, x := range r.runs {
			free = free.Sub(x.need)
			if key.task.Job == st.id.Job {
				if !st.step.LongRunning || st.step.Gang {
					return false // at work
				}
				siblings++
			}
		}
		used, capacity = used+r.info.Capacity.CoresMilli-free.CoresMilli, capacity+r.info.Capacity.CoresMilli
		if st.step.RequiredLabel != "" && !slices.Contains(r.info.Labels, st.step.RequiredLabel) {
			continue
		}
		limit := 2 * len(st.tasks)
		if st.step.MaxPerRunner > 0 {
			limit = max(st.step.MaxPerRunner-siblings, 0)
		}
		copies += need.Copies(free, limit)
	}
	wanted := 2
	if st.step.Gang {
		wanted = 2 * len(st.tasks)
	}
	return st.waitingTasks() > 0 && 2*used < capacity && copies >= wanted
}
