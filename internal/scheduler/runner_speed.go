package scheduler

import "time"

const (
	// speedPrior is how many runs of average length a runner is assumed to have had: run times of one kind of task spread
	// by about 0.6 in the logarithm, speeds of runners by 0.2, and (0.6/0.2)^2 runs tell the two apart.
	speedPrior = 9
	// speedDecay is the weight that the past keeps with each further run, so that a runner which turns slow is noticed.
	speedDecay = 0.98
)

// runnerSpeed learns from run times how slow a runner is compared to others.
type runnerSpeed struct {
	n, sum float64 // runs, and logarithms of their measured time over the expected one
}

// observe takes a run into account that was done.
func (v *runnerSpeed) observe(expected, measured time.Duration) {
	v.n = v.n*speedDecay + 1
	v.sum = v.sum*speedDecay + logMillis(measured) - logMillis(expected)
}

// slowness returns the logarithm of how much longer than on others tasks run; 0 if nothing is known.
func (v *runnerSpeed) slowness() float64 {
	return v.sum / (v.n + speedPrior)
}
