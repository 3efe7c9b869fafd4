package pool

import (
	"math/rand"
	"testing"
	"time"
)

// TestPredict guards against predictions that use a run limit far from the actual
// run times, and against estimates that don't follow a change of run times.
func TestPredict(t *testing.T) {
	p := newTestPool("worker/z/r")
	work := job("work", 5)
	work.RunLimit = time.Hour
	setTemplates(p, work)
	if got := p.Predict(work.ID); got.Mean != time.Hour || got.High != time.Hour {
		t.Fatalf("without runs: %+v", got)
	}
	rnd := rand.New(rand.NewSource(testSeed))
	for _, c := range []struct{ mean, low, high int64 }{{100, 250, 420}, {1000, 2500, 4200}} {
		for range 3000 {
			p.template(work.ID).runTimes.add(int64(rnd.ExpFloat64() * float64(c.mean)))
		}
		// The 95th percentile of an exponential distribution is 3 times its mean.
		got := p.Predict(work.ID)
		if high := got.High.Milliseconds(); high < c.low || high > c.high {
			t.Errorf("mean %d ms: high quantile %v", c.mean, got.High)
		}
		if mean := got.Mean.Milliseconds(); mean < c.mean/2 || mean > c.mean*2 {
			t.Errorf("mean %d ms: average %v", c.mean, got.Mean)
		}
	}
}
