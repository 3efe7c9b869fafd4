package e2e

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Guards against a planned stop that cuts off requests: every process is
// replaced in turn under load, and no caller may see an error.
func TestRollingReplacementUnderLoad(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	// The balancer stops using a process as soon as it is not ready.
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
			rate: 60, length: time.Hour, stop: stop, runMS: 100, seed: 3,
			templates: []string{"cut-list", "cutting-run"},
			addresses: func() []string { return *ready.Load() },
		})
	})
	time.Sleep(time.Second)
	for i := range c.entries {
		old := c.entries[i]
		publish(old)
		began := time.Now()
		if err := old.terminate(30 * time.Second); err != nil {
			t.Errorf("%s: stop failed: %v", old.name, err)
		}
		t.Logf("%s stopped after %v", old.name, time.Since(began).Round(time.Millisecond))
		c.entries[i] = c.startEntry(i)
		c.waitReady(c.entries[i])
		publish(nil)
	}
	close(stop)
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	for _, call := range h.calls {
		if call.outcome != model.OutcomeRan {
			t.Errorf("%s %s: outcome %q reason %q err %v", call.template, call.id, call.outcome, call.reason, call.err)
		}
	}
}
