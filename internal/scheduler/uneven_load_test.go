package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// unevenLoad is a load on runners of three speeds with stragglers and failures, as on the deployment Adwenpa. The same
// seed gives the same jobs, and each task the same run time on a runner of usual speed, whatever is decided.
type unevenLoad struct {
	sim       *simulation
	seed      int64
	submitted map[string]time.Duration
	objective map[string]time.Duration
}

var (
	unevenSpeeds = []float64{0.6, 1.0, 1.6}
	unevenJobs   = []struct {
		queue     string
		perSecond float64
		step      job.Step
	}{
		{"urgent", 77.6, job.Step{Count: 3, Need: model.Resources{CoresMilli: 9900}, Estimate: 850}},
		{"gang", 5.25, job.Step{Count: 20, Need: model.Resources{CoresMilli: 18_000}, Estimate: 3400, Gang: true}},
		{"fill", 8.66, job.Step{Count: 25, Need: model.Resources{CoresMilli: 6900}, Estimate: 2300, Checkpoints: true}},
	}
)

// newUnevenLoad returns a load on the given number of runners. Labels name the kind of a runner if labeled is true.
func newUnevenLoad(seed int64, runners int, labeled bool) *unevenLoad {
	sim := newMixedSimulation(seed, runners)
	l := &unevenLoad{sim: sim, seed: seed, submitted: map[string]time.Duration{}, objective: map[string]time.Duration{}}
	sim.slowdown = map[string]float64{}
	sim.work = l.work
	sim.eligible = func(step job.StepID, runner string) bool { return xxhash.Sum64String(step.Job+runner)%2 == 0 }
	for i, r := range sim.sched.sortedRunners() {
		info := &sim.runners[r.ID].info
		kind := sim.rng.Intn(len(unevenSpeeds))
		sim.slowdown[r.ID] = 1 / unevenSpeeds[kind]
		info.Rack, info.Capacity = fmt.Sprintf("rack%d", i/12), model.Resources{CoresMilli: 64_000, MemoryMB: 128_000}
		info.Labels = nil
		if labeled {
			info.Labels = []string{fmt.Sprintf("kind%d", kind)}
		}
	}
	sim.queues[0].Stretch, sim.queues[1].Stretch, sim.queues[2].Stretch = 1.5, 2.2, 4
	for i := range sim.queues {
		sim.queues[i].Attempts = 2
		sim.queues[i].Advice = &AdvicePolicy{PerCall: 20 * time.Millisecond, PerRunner: time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	}
	sim.takeover()
	machines := make([]string, 41)
	for i := range machines {
		machines[i] = fmt.Sprintf("m%02d", i)
	}
	sim.sched.Dispatcher().SetMachines(machines)
	sim.run(300 * time.Millisecond)
	return l
}

// work returns the run time of a run on a runner of usual speed, and its outcome: 3 of 100 tasks run seven times as long,
// 5 of 100 runs of single tasks fail.
func (l *unevenLoad) work(task job.TaskID, run int) (time.Duration, string) {
	rng := rand.New(rand.NewSource(int64(xxhash.Sum64String(task.String()) ^ uint64(l.seed))))
	step := l.sim.specs[task.Job].Steps[task.Step]
	length := float64(step.EstimatedRunTime()) * math.Exp(0.3*rng.NormFloat64())
	if rng.Intn(100) < 3 && !step.Gang {
		length *= 7
	}
	failing := rng.Intn(100) < 5 && !step.Gang
	if failing && run%runsPerOwner == 1 {
		return time.Duration(length / 2), EndFailed
	}
	return time.Duration(length), EndDone
}

// run submits jobs for the given time. Demand swings by half every 13 s.
func (l *unevenLoad) run(d time.Duration) {
	rng := rand.New(rand.NewSource(l.seed))
	begin := l.sim.now
	for n := 0; l.sim.now < begin+d; {
		swing := 1 + 0.5*math.Sin(2*math.Pi*(l.sim.now-begin).Seconds()/13)
		for _, kind := range unevenJobs {
			for expected := kind.perSecond * swing * 0.01 * float64(len(l.sim.runners)) / 350; rng.Float64() < expected; expected-- {
				n++
				l.submit(fmt.Sprintf("%s%010d", kind.queue, n), kind.queue, kind.step, rng)
			}
		}
		l.sim.run(10 * time.Millisecond)
	}
	l.sim.run(10 * time.Second)
}

func (l *unevenLoad) submit(id, queue string, step job.Step, rng *rand.Rand) {
	step.Estimate = int64(float64(step.Estimate) * math.Exp(0.4*rng.NormFloat64()))
	for _, q := range l.sim.queues {
		if q.Name == queue {
			work := step.EstimatedRunTime() + q.Advice.CallDuration(30)
			l.objective[id] = time.Duration(float64(work)*q.Stretch) + q.Objective
		}
	}
	l.submitted[id] = l.sim.now
	l.sim.submitStep(queue, id, step)
}

// shares returns the share of the jobs in time by queue among those submitted from the given time on, and what an oracle
// reaches that knows all run times and finds a fast runner for every run at once.
func (l *unevenLoad) shares(from time.Duration) (got, oracle map[string]float64) {
	counts := map[string]float64{}
	got, oracle = map[string]float64{}, map[string]float64{}
	for id, at := range l.submitted {
		if at < from {
			continue
		}
		queue := l.sim.specs[id].Queue
		counts[queue]++
		if end, ok := l.ended(id); ok && end-at <= l.objective[id] {
			got[queue]++
		}
		if l.bestEnd(id) <= l.objective[id] {
			oracle[queue]++
		}
	}
	for queue, n := range counts {
		got[queue] /= n
		oracle[queue] /= n
	}
	return got, oracle
}

func (l *unevenLoad) ended(id string) (time.Duration, bool) {
	at, ok := l.sim.finishedAt[id]
	return at, ok && l.sim.finished[id].State == job.Done
}

// bestEnd returns the time from the submission in which a job can be done on runners of the highest speed.
func (l *unevenLoad) bestEnd(id string) time.Duration {
	step := l.sim.specs[id].Steps[0]
	var longest time.Duration
	for i := range step.Count {
		task := job.TaskID{StepID: job.StepID{Job: id}, Index: i}
		var total time.Duration
		for run := 1; run <= 2; run++ {
			length, outcome := l.work(task, run)
			total += time.Duration(float64(length) / unevenSpeeds[len(unevenSpeeds)-1])
			if outcome == EndDone {
				break
			}
		}
		longest = max(longest, total)
	}
	return longest + 30*time.Millisecond // the shortest advice call and a start
}

// TestUnevenRunners guards against jobs that are late because their tasks run on slow runners while fast ones are free:
// three speeds, stragglers and failures, at a load of half of the cores that swings by half.
func TestUnevenRunners(t *testing.T) {
	for _, labeled := range []bool{false, true} {
		l := newUnevenLoad(1, 350, labeled)
		start := l.sim.now
		l.run(26 * time.Second)
		got, oracle := l.shares(start + 6*time.Second)
		t.Logf("labels %v: in time %v, oracle %v", labeled, got, oracle)
		for queue, best := range oracle { // the target: within 5 % of the oracle
			if got[queue] < 0.95*best {
				t.Errorf("labels %v: %.2f of %s jobs in time, an oracle reaches %.2f", labeled, got[queue], queue, best)
			}
		}
		for _, violation := range l.sim.violations {
			t.Error(violation)
		}
	}
}
