package pool

import (
	"math"
	"time"
)

// minMeasured is the number of runs from which measured times replace the declared limit.
const minMeasured = 5

// Run times are counted in classes a quarter of an octave wide, from 1 ms to
// about 200 days.
const (
	classesPerOctave = 4
	runClasses       = 34 * classesPerOctave
	meanWeight       = 0.1
	maxCounted       = 1000 // counts are halved beyond this, so that old runs fade
	highQuantile     = 0.95
)

// runEstimate estimates the run time of a template from measured runs.
type runEstimate struct {
	mean     float64 // ms
	measured int
	counted  int
	counts   []uint16 // by class
}

func (r *runEstimate) add(runMS int64) {
	ms := max(1, float64(runMS))
	if r.measured == 0 {
		r.mean = ms
		r.counts = make([]uint16, runClasses)
	}
	r.mean += meanWeight * (ms - r.mean)
	r.measured++
	r.counts[runClass(ms)]++
	r.counted++
	if r.counted > maxCounted {
		r.halve()
	}
}

func runClass(ms float64) int {
	return min(runClasses-1, int(math.Log2(ms)*classesPerOctave))
}

func (r *runEstimate) halve() {
	r.counted = 0
	for class := range r.counts {
		r.counts[class] /= 2
		r.counted += int(r.counts[class])
	}
}

// usable reports whether enough runs were measured.
func (r *runEstimate) usable() bool { return r.measured >= minMeasured }

// average returns the moving average of the run time.
func (r *runEstimate) average() time.Duration {
	return time.Duration(r.mean * float64(time.Millisecond))
}

// high returns the upper bound of the class that holds the high quantile.
func (r *runEstimate) high() time.Duration {
	rank := int(math.Ceil(highQuantile * float64(r.counted)))
	for class, n := range r.counts {
		rank -= int(n)
		if rank <= 0 {
			ms := math.Exp2(float64(class+1) / classesPerOctave)
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}
