package e2e

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// rollingLimit limits the replacement of all processes of a cell.
	rollingLimit = 60 * time.Second
	// stopLimit limits the shutdown of one process.
	stopLimit = 30 * time.Second
)

// Guards against a graceful shutdown that interrupts requests: every process is
// replaced in turn under load, and no caller may get an error.
func TestRollingReplacementUnderLoad(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	rollingReplacement(t, c, 60, 3)
}

// Guards against a graceful shutdown that interrupts requests in a cell of today's
// production size (9 entry processes): a process that took over shards is itself
// replaced later, and pools move within a zone whose processes all stop in turn.
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
	ready.Store(c.readyAddresses(nil))
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		h.load(loadOptions{
			rate: rate, duration: rollingLimit, stop: stop, runMS: 100, seed: seed,
			templates: []string{"cut-list", "cutting-run"},
			addresses: func() []string { return *ready.Load() },
		})
	})
	time.Sleep(time.Second)
	start := time.Now()
	for i, old := range c.entries {
		ready.Store(c.readyAddresses(old))
		if err := old.terminate(stopLimit); err != nil {
			t.Errorf("%s: graceful shutdown failed: %v", old.name, err)
		}
		stopped := time.Since(start)
		c.entries[i] = c.startEntry(i)
		c.waitReady(c.entries[i])
		ready.Store(c.readyAddresses(nil))
		t.Logf("%s stopped at %v, its replacement ready at %v", old.name, stopped.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	}
	elapsed := time.Since(start)
	close(stop)
	wg.Wait()
	if elapsed >= rollingLimit {
		t.Errorf("the load ended before the replacement, which took %v", elapsed)
	}
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	for _, call := range h.calls {
		if call.outcome != model.OutcomeRan {
			t.Errorf("%s %s: outcome %q reason %q err %v", call.template, call.id, call.outcome, call.reason, call.err)
		}
	}
}

// readyAddresses returns the addresses that a load balancer uses while one process
// is not ready.
func (c *cell) readyAddresses(skip *entryProcess) *[]string {
	var out []string
	for _, e := range c.entries {
		if e != skip {
			out = append(out, e.http)
		}
	}
	return &out
}
