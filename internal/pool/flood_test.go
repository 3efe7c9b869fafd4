package pool

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// runFlood simulates 20 s of Poisson arrivals at a pool of 104 slots with requests
// that run 40 ms. rates are in requests per second.
func runFlood(rates map[string]float64, templates []model.Template) *queueModel {
	q := &queueModel{
		pool: newTestPool("runner/orders/z"), waiting: map[string][]time.Time{}, waits: map[string][]time.Duration{},
	}
	setTemplates(q.pool, templates...)
	addEndpoints(q.pool, 13, model.Resources{Slots: 8})
	nextArrival := map[string]float64{} // ms
	random := map[string]*rand.Rand{}   // one per template, so that its arrivals don't depend on other templates
	for i, t := range templates {
		random[t.ID.Name] = rand.New(rand.NewSource(testSeed + int64(i)))
	}
	for ms := range 20_000 {
		now := at(time.Duration(ms) * time.Millisecond)
		for _, t := range templates {
			name := t.ID.Name
			for ; rates[name] > 0 && nextArrival[name] <= float64(ms); nextArrival[name] += random[name].ExpFloat64() * 1000 / rates[name] {
				if len(q.waiting[name]) < 1000 { // the shard owner's queue is bounded
					q.waiting[name] = append(q.waiting[name], now)
				}
			}
		}
		keepLeases(q.pool, now)
		q.step(now, 40*time.Millisecond, templates)
	}
	return q
}

func quantile(d []time.Duration, q float64) time.Duration {
	s := slices.Sorted(slices.Values(d))
	return s[int(q*float64(len(s)-1))]
}

// TestFloods guards against a flood of less urgent requests that delays urgent
// ones, and against a flood of one urgent template that reduces the throughput of
// another.
func TestFloods(t *testing.T) {
	templates := []model.Template{
		request("quote", 1, 0.6, 0), request("cut", 9, 0.5, 0.1), request("confirm", 9, 0.5, 0.1),
	}
	// The fleet serves 104 slots / 40 ms = 2600 requests a second.
	calm := map[string]float64{"quote": 300, "cut": 600, "confirm": 600}
	base := runFlood(calm, templates)
	quoteFlood := runFlood(map[string]float64{"quote": 26_000, "cut": 600, "confirm": 600}, templates)
	cutFlood := runFlood(map[string]float64{"quote": 300, "cut": 26_000, "confirm": 600}, templates)
	for _, name := range []string{"cut", "confirm"} {
		was, is := quantile(base.waits[name], 0.99), quantile(quoteFlood.waits[name], 0.99)
		t.Logf("flood of quote: %s waits p99 %v, without a flood %v; quote served %d", name, is, was, len(quoteFlood.waits["quote"]))
		if is > was*6/5+20*time.Millisecond {
			t.Errorf("%s waits %v in a flood, %v without", name, is, was)
		}
	}
	was, is := len(base.waits["confirm"]), len(cutFlood.waits["confirm"])
	t.Logf("flood of cut: confirm served %d, without a flood %d, waits p99 %v; cut served %d of %d possible", is, was,
		quantile(cutFlood.waits["confirm"], 0.99), len(cutFlood.waits["cut"]), 20*2600)
	if float64(is) < 0.95*float64(was) {
		t.Errorf("confirm served %d in a flood of cut, %d without", is, was)
	}
}
