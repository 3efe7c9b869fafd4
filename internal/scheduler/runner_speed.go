package scheduler

import "time"

const (
	// speedPriorRuns is the weight of the prior, as a number of runs of expected length. The standard deviation of the
	// log run time is about 0.6 between tasks of one kind and 0.2 between runners, so (0.6/0.2)^2 runs give both equal
	// weight.
	speedPriorRuns = 9
	// speedDecay is the factor by which the weight of earlier runs decays with each further run, so that a runner that
	// becomes slow is detected.
	speedDecay = 0.98
)

// runnerSpeed estimates from run times how slow a runner is compared to others.
type runnerSpeed struct {
	runs, logRatioSum float64 // decayed sums of runs and of log(measured / expected run time)
}

// observe adds a completed run.
func (v *runnerSpeed) observe(expected, measured time.Duration) {
	v.runs = v.runs*speedDecay + 1
	v.logRatioSum = v.logRatioSum*speedDecay + logMillis(measured) - logMillis(expected)
}

// slowness returns the logarithm of the factor by which tasks run longer than on other runners; 0 if nothing is known.
func (v *runnerSpeed) slowness() float64 {
	return v.logRatioSum / (v.runs + speedPriorRuns)
}
