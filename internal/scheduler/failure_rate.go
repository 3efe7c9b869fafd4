package scheduler

import (
	"math"
	"time"
)

const (
	// failureMemory is the time in which the weight of a run decays by a factor of e. Faults of runners last from seconds to
	// minutes; a runner that has recovered is trusted again within that time.
	failureMemory = 10 * time.Second
	// runnerPriorRuns and zonePriorRuns are the numbers of runs that weigh as much as what is known of the zone and of the
	// fleet: one failure among the first few runs is evidence against a runner, but says little about its zone.
	runnerPriorRuns = 4
	zonePriorRuns   = 50
	// suspectMargin is by how much a runner's failure rate must exceed the fleet's before gangs and urgent tasks avoid it:
	// it adds that much to the probability that a whole gang is broken. With 0.1, a fleet whose tasks fail by their own
	// fault in 5 of 100 runs has so many wrong suspects that gangs find fewer runners.
	suspectMargin = 0.2
	// lastAttemptMargin is the same for last attempts, which are few and whose failure ends the job.
	lastAttemptMargin = 0.1
	// suspectRefresh is the interval at which a runner's rate is compared again.
	suspectRefresh = 200 * time.Millisecond
)

// failureRate counts the runs that have ended lately, and those of them that have failed.
type failureRate struct {
	runs, failures float64
	at             time.Duration
}

func (f *failureRate) observe(failed bool, now time.Duration) {
	weight := f.weight(now)
	f.runs, f.failures, f.at = f.runs*weight+1, f.failures*weight, now
	if failed {
		f.failures++
	}
}

// weight returns what is left of the weight of the runs that have been counted.
func (f *failureRate) weight(now time.Duration) float64 {
	return math.Exp(-float64(now-f.at) / float64(failureMemory))
}

// estimate returns the probability that a run fails, given a prior estimate that weighs as much as priorRuns runs.
func (f *failureRate) estimate(prior, priorRuns float64, now time.Duration) float64 {
	weight := f.weight(now)
	return (f.failures*weight + prior*priorRuns) / (f.runs*weight + priorRuns)
}

// fleetFailures holds the failure rates of all runners together and of each zone. The number of zones is bounded by the
// platform.
type fleetFailures struct {
	all   failureRate
	zones map[string]*failureRate
}

func (f *fleetFailures) zone(name string) *failureRate {
	if f.zones == nil {
		f.zones = map[string]*failureRate{}
	}
	if f.zones[name] == nil {
		f.zones[name] = &failureRate{}
	}
	return f.zones[name]
}

// observeOutcome counts a run that is done or has failed by its own fault or its runner's. A task that has failed on
// another runner before says nothing about this one.
func (s *Scheduler) observeOutcome(x *run, failed bool) {
	t := x.task
	if failed && (len(t.failedRuns) > 0 || t.counted().failures.repeated()) && t.avoidRunner != "" && t.avoidRunner != x.runner.ID {
		return
	}
	for _, rate := range []*failureRate{&s.failures.all, s.failures.zone(x.runner.Zone), &x.runner.failures} {
		rate.observe(failed, s.now)
	}
	x.runner.excessCheckedAt = 0
}

// isSuspect reports whether runs fail on a runner clearly more often than elsewhere, by what matters to the next run of a
// task. Runners of a zone in which many runs fail are suspect earlier.
func (s *Scheduler) isSuspect(r *runner, lastAttempt bool) bool {
	if r.excessCheckedAt == 0 || s.now-r.excessCheckedAt >= suspectRefresh {
		fleet := s.failures.all.estimate(0, runnerPriorRuns, s.now)
		zone := s.failures.zone(r.Zone).estimate(fleet, zonePriorRuns, s.now)
		r.excessFailures = r.failures.estimate(zone, runnerPriorRuns, s.now) - fleet
		r.excessCheckedAt = s.now
	}
	if lastAttempt {
		return r.excessFailures > lastAttemptMargin
	}
	return r.excessFailures > suspectMargin
}

// isLastAttempt reports whether a job fails if the next run of a task fails. The first task counts the runs of a gang.
func (st *stage) isLastAttempt(t *task) bool {
	limit := st.job.queue.Attempts
	return limit > 1 && len(t.failedRuns) >= limit-1
}
