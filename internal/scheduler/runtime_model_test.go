package scheduler

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestRuntimeModelShrinksToTheMean guards against ranking by declared run times that are weakly correlated with the
// actual ones: a stream of short jobs whose declared times have a log-normal error with a standard deviation of 0.9.
func TestRuntimeModelShrinksToTheMean(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	var m runtimeModel
	declaredError, predictedError := 0.0, 0.0
	const runs = 2000
	for i := range runs {
		actual := math.Exp(math.Log(640) + 0.5*rng.NormFloat64())
		declared := actual * math.Exp(0.9*rng.NormFloat64())
		d := time.Duration(declared * float64(time.Millisecond))
		a := time.Duration(actual * float64(time.Millisecond))
		if i > 100 {
			declaredError += math.Abs(logMillis(d) - logMillis(a))
			predictedError += math.Abs(logMillis(m.predict(d)) - logMillis(a))
		}
		m.observe(d, a)
	}
	if predictedError > 0.65*declaredError {
		t.Fatalf("mean error of the prediction %.2f, of the declared time %.2f", predictedError/runs, declaredError/runs)
	}
}

// TestRuntimeModelKeepsAccurateEstimates guards against predictions that ignore declared times which are proportional
// to the measured ones.
func TestRuntimeModelKeepsAccurateEstimates(t *testing.T) {
	var m runtimeModel
	for i := range 200 {
		d := time.Duration(100+i*10) * time.Millisecond
		m.observe(d, 2*d)
	}
	got := m.predict(time.Second)
	if got < 1900*time.Millisecond || got > 2100*time.Millisecond {
		t.Fatalf("predicted %s for a declared second, want about 2s", got)
	}
}
