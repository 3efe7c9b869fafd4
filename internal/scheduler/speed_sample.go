package scheduler

import "time"

const (
	// sampleDecay is the factor by which the weight of earlier runs decays with each further run of full weight: the
	// last 20 runs count, so that a runner that becomes slow is noticed within seconds.
	sampleDecay = 0.95
	// maxSampleDeviation limits how far one run's log ratio counts as deviating from the runner's mean. A straggler that
	// takes seven times as long has a log ratio of 1.9 and says little about its runner.
	maxSampleDeviation = 1.2
	// restartSampleRuns is the weight that a sample keeps when its runner restarts: it is usually the same machine, but
	// it may have been replaced.
	restartSampleRuns = 3
)

// speedSample holds decayed sums over the log ratios of measured to expected run times on a runner.
type speedSample struct {
	runs, sum, squares float64
}

// observe adds a run with the given weight. estimate is the slowness that the runner is believed to have.
func (v *speedSample) observe(expected, measured time.Duration, weight, estimate float64) {
	ratio := logMillis(measured) - logMillis(expected)
	ratio = min(max(ratio, estimate-maxSampleDeviation), estimate+maxSampleDeviation)
	decay := 1 - (1-sampleDecay)*weight
	v.runs = v.runs*decay + weight
	v.sum = v.sum*decay + weight*ratio
	v.squares = v.squares*decay + weight*ratio*ratio
}

// slowness returns the expected logarithm of the factor by which tasks run longer on the runner.
func (v *speedSample) slowness(prior speedPrior) float64 {
	return (v.sum + prior.runs*prior.mean) / (v.runs + prior.runs)
}

// restarted reduces the weight of the sample.
func (v *speedSample) restarted() {
	if v.runs > restartSampleRuns {
		scale := restartSampleRuns / v.runs
		v.runs, v.sum, v.squares = v.runs*scale, v.sum*scale, v.squares*scale
	}
}
