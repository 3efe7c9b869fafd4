package scheduler

import "math"

// speedPrior is what is expected of a runner before its own runs are counted: the mean slowness of runners of its kind,
// with the weight of a number of runs.
type speedPrior struct {
	mean, runs float64
}

const (
	// initialRunVariance is the assumed variance of the log run time between tasks of one queue, with the weight of
	// initialVarianceRuns runs.
	initialRunVariance  = 0.36
	initialVarianceRuns = 20
	// initialVarianceRunners is the weight, as a number of runners, of the assumption that runners of one kind differ as
	// speedPriorRuns says.
	initialVarianceRunners = 8
	// minPriorRuns and maxPriorRuns limit the weight of the prior.
	minPriorRuns, maxPriorRuns = 0.5, 60
)

// estimatePrior estimates by the method of DerSimonian and Laird how much the runners of a kind differ, and returns their
// prior: the more alike they are, the more it counts. variance is that of the log run time on one runner.
func estimatePrior(samples []*speedSample, variance float64) speedPrior {
	between, mean, total, seen := betweenVariance(samples, variance)
	between = (seen*between + initialVarianceRunners*variance/speedPriorRuns) / (seen + initialVarianceRunners)
	return speedPrior{
		mean: mean * total / (total + speedPriorRuns),
		runs: min(max(variance/max(between, 1e-6), minPriorRuns), maxPriorRuns),
	}
}

// betweenVariance returns the variance of slowness between runners beyond what chance explains, their mean, the total
// weight of their runs and the number of runners with runs.
func betweenVariance(samples []*speedSample, variance float64) (between, mean, total, seen float64) {
	var sum, squaredWeights float64
	for _, v := range samples {
		if v.runs > 0 {
			seen++
			total += v.runs
			sum += v.sum
			squaredWeights += v.runs * v.runs
		}
	}
	if seen == 0 {
		return 0, 0, 0, 0
	}
	mean = sum / total
	q := 0.0
	for _, v := range samples {
		if v.runs > 0 {
			q += v.runs * math.Pow(v.sum/v.runs-mean, 2)
		}
	}
	if freedom := total - squaredWeights/total; seen > 1 && freedom > 0 {
		between = max(q-(seen-1)*variance, 0) / freedom
	}
	return between, mean, total, seen
}

// runVariance estimates the variance of the log run time on one runner, pooled over all runners.
func runVariance(samples []*speedSample) float64 {
	squares, freedom := initialRunVariance*initialVarianceRuns, float64(initialVarianceRuns)
	for _, v := range samples {
		if v.runs > 1 {
			squares += max(v.squares-v.sum*v.sum/v.runs, 0)
			freedom += v.runs - 1
		}
	}
	return squares / freedom
}
