package scheduler

import "math"

const (
	// stragglerRatio is the ratio of the measured to the predicted run time from which on a run counts as a straggler:
	// such a run has usually met something that has nothing to do with the work.
	stragglerRatio = 3
	// initialStragglerShare and initialStragglerLog are the share of stragglers and the logarithm of their ratio that are
	// assumed at first, with the weight of initialSpreadRuns runs.
	initialStragglerShare = 0.01
	initialStragglerLog   = 1.6
	initialSpreadRuns     = 20
	// stragglerDeviation is the standard deviation of the log ratio among stragglers.
	stragglerDeviation = 0.35
)

// runtimeSpread describes how the logarithm of a run time deviates from its prediction: a normal distribution for most
// runs, and another one for stragglers. The sums decay as those of runtimeModel.
type runtimeSpread struct {
	runs, squares               float64 // of the usual runs
	stragglers, stragglerLogSum float64
}

// observe adds the log ratio of a measured to a predicted run time.
func (p *runtimeSpread) observe(logRatio float64) {
	for _, sum := range []*float64{&p.runs, &p.squares, &p.stragglers, &p.stragglerLogSum} {
		*sum *= modelDecay
	}
	if logRatio > math.Log(stragglerRatio) {
		p.stragglers++
		p.stragglerLogSum += logRatio
		return
	}
	p.runs++
	p.squares += logRatio * logRatio
}

// exceeds returns the probability that the log ratio of a run exceeds the given one.
func (p *runtimeSpread) exceeds(logRatio float64) float64 {
	const assumed = initialSpreadRuns * initialStragglerShare
	deviation := math.Sqrt((p.squares + initialRunVariance*initialSpreadRuns) / (p.runs + initialSpreadRuns))
	share := (p.stragglers + assumed) / (p.runs + p.stragglers + initialSpreadRuns)
	mean := (p.stragglerLogSum + assumed*initialStragglerLog) / (p.stragglers + assumed)
	return (1-share)*normalExceeds(logRatio/deviation) + share*normalExceeds((logRatio-mean)/stragglerDeviation)
}

// normalExceeds returns the probability that a standard normal variable exceeds z.
func normalExceeds(z float64) float64 { return 0.5 * math.Erfc(z/math.Sqrt2) }
