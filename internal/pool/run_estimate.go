package pool

import (
	"math"
	"time"
)

// minMeasured is the number of measured runs after which run times replace the
// declared limit in predictions.
const minMeasured = 5

// Run times are counted in a histogram with four buckets per power of two, from
// 1 ms to about 200 days.
const (
	bucketsPerOctave = 4
	runBuckets       = 34 * bucketsPerOctave
	meanWeight       = 0.1
	maxCounted       = 1000 // counts are halved beyond this, so that old runs lose weight
	highQuantile     = 0.95
)

// runEstimate estimates the run time of a template from measured runs.
type runEstimate struct {
	mean     float64 // ms
	measured int
	counted  int
	counts   []uint16 // by bucket
}

func (r *runEstimate) add(runMS int64) {
	ms := max(1, float64(runMS))
	if r.measured == 0 {
		r.mean = ms
		r.counts = make([]uint16, runBuckets)
	}
	r.mean += meanWeight * (ms - r.mean)
	r.measured++
	r.counts[runBucket(ms)]++
	r.counted++
	if r.counted > maxCounted {
		r.halve()
	}
}

func runBucket(ms float64) int {
	return min(runBuckets-1, int(math.Log2(ms)*bucketsPerOctave))
}

func (r *runEstimate) halve() {
	r.counted = 0
	for bucket := range r.counts {
		r.counts[bucket] /= 2
		r.counted += int(r.counts[bucket])
	}
}

// sufficient reports whether enough runs have been measured.
func (r *runEstimate) sufficient() bool { return r.measured >= minMeasured }

// average returns the moving average of the run time.
func (r *runEstimate) average() time.Duration {
	return time.Duration(r.mean * float64(time.Millisecond))
}

// highEstimate returns the upper bound of the bucket that contains the high quantile.
func (r *runEstimate) highEstimate() time.Duration {
	rank := int(math.Ceil(highQuantile * float64(r.counted)))
	for bucket, n := range r.counts {
		rank -= int(n)
		if rank <= 0 {
			ms := math.Exp2(float64(bucket+1) / bucketsPerOctave)
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}
