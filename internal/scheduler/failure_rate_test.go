package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
)

// faultyFleet returns a simulation of 60 runners with a load of half of their cores, one in ten of which fails every second
// run at once while its health check is good.
func faultyFleet(seed int64) *simulation {
	sim := newMixedSimulation(seed, 60)
	for i := range sim.queues {
		sim.queues[i].Attempts = 2
	}
	sim.takeover()
	sim.eligible = func(step job.StepID, runner string) bool { return xxhash.Sum64String(step.Job+runner)%2 == 0 }
	sim.failsOneIn = map[string]int{}
	for i, r := range sim.sched.sortedRunners() {
		if i%10 == 0 {
			sim.failsOneIn[r.ID] = 2
		}
	}
	return sim
}

// submitFaultyLoad submits gangs and urgent jobs for the given time and lets them end.
func submitFaultyLoad(sim *simulation, prefix string, d time.Duration) {
	for tick := range int(d / (50 * time.Millisecond)) {
		if tick%4 == 0 {
			sim.submitStep("gang", fmt.Sprintf("%sg%014d", prefix, tick), job.Step{Count: 8, Need: model.Resources{CoresMilli: 4000}, Estimate: 1000, Gang: true})
		}
		for i := range 3 {
			sim.submitStep("urgent", fmt.Sprintf("%su%012d%02d", prefix, tick, i), job.Step{Count: 3, Need: model.Resources{CoresMilli: 2000}, Estimate: 300})
		}
		sim.run(50 * time.Millisecond)
	}
	sim.run(5 * time.Second)
}

// Guards against whole gangs that are broken, and jobs that use up their last attempt, on runners that fail a part of their
// runs while others are free: such a runner succeeds often enough to leave its quarantine each time.
func TestRunnersThatFailOftenAreAvoided(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		sim := faultyFleet(seed)
		submitFaultyLoad(sim, "a", 3*time.Second) // the rates are learned
		submitFaultyLoad(sim, "b", 10*time.Second)
		failed := map[byte]int{}
		for id, end := range sim.finished {
			if id[0] == 'b' && end.State == job.Failed {
				failed[id[1]]++
			}
		}
		// A job may fail only if both of its runs met a runner that wasn't known as faulty.
		if failed['g'] > 1 || failed['u'] > 2 {
			t.Errorf("seed %d: %d of 50 gangs and %d of 600 urgent jobs failed", seed, failed['g'], failed['u'])
		}
		for _, violation := range sim.violations {
			t.Error(violation)
		}
	}
}

// Guards against a runner that stays under suspicion after its fault has ended, and against suspicion of every runner when
// all tasks fail more often.
func TestSuspicionFollowsTheRate(t *testing.T) {
	s := newSimulation(1, 2).sched
	r := s.sortedRunners()[0]
	observe := func(runs int, rate *failureRate, failed bool) {
		for range runs {
			s.now += 100 * time.Millisecond
			rate.observe(failed, s.now)
			s.failures.all.observe(failed, s.now)
		}
	}
	other := &failureRate{}
	observe(50, other, false)
	observe(3, &r.failures, true)
	if !s.isSuspect(r, false) {
		t.Error("three failures in a row on a fleet without failures: not suspect")
	}
	s.now += 3 * failureMemory
	observe(5, &r.failures, false)
	if s.isSuspect(r, false) {
		t.Errorf("still suspect after %v and five successes", 3*failureMemory)
	}
	observe(30, other, true)
	observe(3, &r.failures, true)
	if s.isSuspect(r, false) {
		t.Error("suspect although runs fail as often everywhere")
	}
}
