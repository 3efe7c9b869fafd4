package scheduler

import (
	"math"
	"time"
)

const (
	// speedRefreshInterval is the interval at which the priors and all runners' estimates are computed again.
	speedRefreshInterval = 200 * time.Millisecond
	// unequalDeviation is the standard deviation of the log speed between runners from which on placement goes by speed;
	// it stops below equalDeviation. Speeds of 0.6, 1.0 and 1.6 have 0.4; like runners were measured at up to 0.2, where
	// placement by speed gains nothing.
	unequalDeviation = 0.30
	equalDeviation   = 0.25
	// minUnequalRuns is the number of runs on all runners below which they count as alike.
	minUnequalRuns = 100
)

// fleetSpeed holds what is known of the speeds of all runners.
type fleetSpeed struct {
	unequal     bool // runners differ enough for placement by speed
	refreshedAt time.Duration
	priors      map[string]speedPrior // by kind
	center      float64               // mean slowness of all runners before it is subtracted
}

// kind returns the first label of a runner. Runners of one kind usually have one speed.
func (r *runner) kind() string {
	if len(r.Labels) == 0 {
		return ""
	}
	return r.Labels[0]
}

// refreshSpeeds estimates the priors of all kinds and the slowness of all runners again, if the interval has passed.
func (s *Scheduler) refreshSpeeds(runners []*runner) {
	f := &s.fleetSpeed
	if f.priors != nil && s.now-f.refreshedAt < speedRefreshInterval {
		return
	}
	f.refreshedAt = s.now
	all := make([]*speedSample, 0, len(runners))
	kinds := map[string][]*speedSample{}
	for _, r := range runners {
		all = append(all, &r.sample)
		kinds[r.kind()] = append(kinds[r.kind()], &r.sample)
	}
	variance := runVariance(all)
	f.priors = make(map[string]speedPrior, len(kinds))
	for kind, samples := range kinds {
		f.priors[kind] = estimatePrior(samples, variance)
	}
	between, _, total, _ := betweenVariance(all, variance)
	limit := unequalDeviation
	if f.unequal {
		limit = equalDeviation
	}
	f.unequal = total >= minUnequalRuns && math.Sqrt(between) >= limit
	sum := 0.0
	for _, r := range runners {
		sum += r.sample.slowness(f.priors[r.kind()])
	}
	// Run times are scaled by slowness before they are counted, so a common factor would be free to drift.
	f.center = sum / max(float64(len(runners)), 1)
	for _, r := range runners {
		r.slowness = s.estimateSlowness(r)
	}
}

// estimateSlowness estimates a runner's slowness relative to the mean of the fleet.
func (s *Scheduler) estimateSlowness(r *runner) float64 {
	prior, known := s.fleetSpeed.priors[r.kind()]
	if !known {
		return 0
	}
	return r.sample.slowness(prior) - s.fleetSpeed.center
}

// slownessOf returns the logarithm of the factor by which tasks run longer on a runner than on others; 0 while the runners
// count as alike.
func (s *Scheduler) slownessOf(r *runner) float64 {
	if !s.fleetSpeed.unequal {
		return 0
	}
	return r.slowness
}

// observeSpeed adds a completed run to the samples of the runners whose speed it shows.
func (s *Scheduler) observeSpeed(x *run, expected, measured time.Duration) {
	if !x.task.stage.step.Gang {
		s.observeRunner(x.runner, expected, measured, 1)
		return
	}
	// A gang ends with its slowest member, so its time shows the speed of its runners only if they are alike.
	fastest, slowest := x.runner.slowness, x.runner.slowness
	for _, r := range x.task.stage.gangRunners {
		fastest, slowest = min(fastest, r.slowness), max(slowest, r.slowness)
	}
	if slowest-fastest > likeSpeed {
		return
	}
	for _, r := range x.task.stage.gangRunners {
		s.observeRunner(r, expected, measured, gangSampleWeight)
	}
}

// gangSampleWeight is the weight of a gang's run time for each of its runners, less than that of a single task's, as
// another runner's straggler may have determined it.
const gangSampleWeight = 0.5

func (s *Scheduler) observeRunner(r *runner, expected, measured time.Duration, weight float64) {
	r.sample.observe(expected, measured, weight, r.slowness)
	r.slowness = s.estimateSlowness(r)
}

// likeSpeed is the difference of slowness up to which runners count as alike.
const likeSpeed = 0.2
