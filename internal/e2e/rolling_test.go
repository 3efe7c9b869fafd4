package e2e

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// rollingLimit bounds the replacement of all processes of a cell of 9.
const rollingLimit = 60 * time.Second

// Guards against a planned stop that cuts off requests in a cell of the size of
// today: successors of successors, and pools that move within a zone whose
// processes all leave in turn.
func TestRollingReplacementOfNine(t *testing.T) {
	const seed = 51
	t.Logf("seed %d", seed)
	c := newCell(t, cellOptions{entries: 9, zones: 3, runners: 12})
	h := &history{}
	var ready atomic.Pointer[[]string]
	publish := func(skip *entryProc) {
		var out []string
		for _, e := range c.entries {
			if e != skip {
				out = append(out, e.http)
			}
		}
		ready.Store(&out)
	}
	publish(nil)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		h.load(loadOptions{
			rate: 100, length: rollingLimit, stop: stop, runMS: 100, seed: seed,
			templates: []string{"cut-list", "cutting-run"},
			addresses: func() []string { return *ready.Load() },
		})
	})
	time.Sleep(time.Second)
	began := time.Now()
	for i := range c.entries {
		old := c.entries[i]
		publish(old)
		if err := old.terminate(15 * time.Second); err != nil {
			t.Errorf("%s: stop failed: %v", old.name, err)
		}
		stopped := time.Since(began)
		c.entries[i] = c.startEntry(i)
		c.waitReady(c.entries[i])
		publish(nil)
		t.Logf("%s stopped at %v, its successor ready at %v", old.name, stopped.Round(time.Millisecond), time.Since(began).Round(time.Millisecond))
	}
	took := time.Since(began)
	close(stop)
	wg.Wait()
	if took >= rollingLimit {
		t.Errorf("the load ended before the replacement, which took %v", took)
	}
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	for _, call := range h.calls {
		if call.outcome != model.OutcomeRan {
			t.Errorf("%s %s: outcome %q reason %q err %v", call.template, call.id, call.outcome, call.reason, call.err)
		}
	}
}
