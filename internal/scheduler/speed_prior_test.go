package scheduler

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// samplesOf returns samples of runners with the given slowness and number of runs. The log run time has a standard
// deviation of 0.4.
func samplesOf(rng *rand.Rand, slowness []float64, runs int) []*speedSample {
	var out []*speedSample
	for _, v := range slowness {
		sample := &speedSample{}
		for range runs {
			measured := time.Duration(math.Exp(v+0.4*rng.NormFloat64()) * float64(time.Second))
			sample.observe(time.Second, measured, 1, v)
		}
		out = append(out, sample)
	}
	return out
}

// TestPriorWeightFollowsLikeness guards against a runner of an odd kind that needs dozens of runs to be known, and against
// runners of one speed that are told apart by chance.
func TestPriorWeightFollowsLikeness(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	var like, unlike []float64
	for i := range 60 {
		like = append(like, 0.5)
		unlike = append(unlike, []float64{-0.47, 0, 0.51}[i%3])
	}
	alike := samplesOf(rng, like, 6)
	prior := estimatePrior(alike, runVariance(alike))
	if prior.runs < 20 || math.Abs(prior.mean-0.5) > 0.1 {
		t.Errorf("prior %+v of runners with the same slowness 0.5, want a weight of at least 20 runs", prior)
	}
	differing := samplesOf(rng, unlike, 6)
	prior = estimatePrior(differing, runVariance(differing))
	if prior.runs > 3 {
		t.Errorf("prior %+v of runners that differ, want a weight of at most 3 runs", prior)
	}
	for i, v := range differing {
		if got := v.slowness(prior); math.Abs(got-unlike[i]) > 0.6 {
			t.Errorf("slowness %.2f after 6 runs, want about %.2f", got, unlike[i])
		}
	}
}

// TestStragglerSaysLittleAboutItsRunner guards against a runner that counts as slow because of one run that took seven
// times as long.
func TestStragglerSaysLittleAboutItsRunner(t *testing.T) {
	v := samplesOf(rand.New(rand.NewSource(2)), []float64{0}, 10)[0]
	before := v.slowness(speedPrior{runs: 2})
	v.observe(time.Second, 7*time.Second, 1, before)
	if after := v.slowness(speedPrior{runs: 2}); after-before > 0.15 {
		t.Errorf("slowness %.2f after a straggler, %.2f before", after, before)
	}
}

// TestSpeedCosts checks where work goes: to the runner on which it ends in time, and to a slow one if both do.
func TestSpeedCosts(t *testing.T) {
	cost := func(limit time.Duration, urgent bool, slowness float64) int64 {
		b := timeBudget{expected: time.Second, tasks: 3, inTime: limit, worthy: 3 * limit}
		return newSpeedCosts(b, urgent).of(&runner{slowness: slowness})
	}
	for _, c := range []struct {
		name   string
		limit  time.Duration
		urgent bool
		slow   bool // the slow runner is preferred
	}{
		{"urgent, little time left", 1500 * time.Millisecond, true, false},
		{"urgent, much time left", time.Minute, true, false},
		{"little time left", 1500 * time.Millisecond, false, false},
		{"much time left", time.Minute, false, true},
	} {
		if slow := cost(c.limit, c.urgent, 0.5) < cost(c.limit, c.urgent, -0.5); slow != c.slow {
			t.Errorf("%s: the slow runner is preferred: %v, want %v", c.name, slow, c.slow)
		}
	}
	if near, far := cost(1500*time.Millisecond, true, 0.5), cost(1500*time.Millisecond, true, -0.5); near-far < 64_000 {
		t.Errorf("a runner on which an urgent task is late costs only %d millicores more", near-far)
	}
}
