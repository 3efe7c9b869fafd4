package e2e

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// rollingLimit bounds the replacement of all processes of a cell.
	rollingLimit = 60 * time.Second
	// stopLimit bounds the stop of one process.
	stopLimit = 30 * time.Second
)

// Guards against a planned stop that cuts off requests: every process is
// replaced in turn under load, and no caller may see an error.
func TestRollingReplacementUnderLoad(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	rollingReplacement(t, c, 60, 3)
}

// Guards against a planned stop that cuts off requests in a cell of the size of
// today: successors of successors, and pools that move within a zone whose
// processes all leave in turn.
func TestRollingReplacementOfNine(t *testing.T) {
	c := newCell(t, cellOptions{entries: 9, zones: 3, runners: 12})
	rollingReplacement(t, c, 100, 51)
}

// rollingReplacement replaces every entry process in turn under load.
func rollingReplacement(t *testing.T, c *cell, rate int, seed int64) {
	t.Helper()
	t.Logf("seed %d", seed)
	h := &history{}
	var ready atomic.Pointer[[]string]
	ready.Store(c.balanced(nil))
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		h.load(loadOptions{
			rate: rate, length: rollingLimit, stop: stop, runMS: 100, seed: seed,
			templates: []string{"cut-list", "cutting-run"},
			addresses: func() []string { return *ready.Load() },
		})
	})
	time.Sleep(time.Second)
	began := time.Now()
	for i, old := range c.entries {
		ready.Store(c.balanced(old))
		if err := old.terminate(stopLimit); err != nil {
			t.Errorf("%s: stop failed: %v", old.name, err)
		}
		stopped := time.Since(began)
		c.entries[i] = c.startEntry(i)
		c.waitReady(c.entries[i])
		ready.Store(c.balanced(nil))
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

// balanced returns the addresses that a load balancer uses while one process is
// not ready.
func (c *cell) balanced(skip *entryProc) *[]string {
	var out []string
	for _, e := range c.entries {
		if e != skip {
			out = append(out, e.http)
		}
	}
	return &out
}
