package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	platformstandin "github.com/agateyard/agateyard/internal/platform/standin"
)

// refusalLimit limits the time to answer work that can't run without the store: the
// time that an intent may wait for the journal, plus one second.
const refusalLimit = 3 * time.Second

// Guards against a store outage that stops idempotent work, that lets non-idempotent
// work run without a journal record, or that ends in a burst of store calls.
// AGATEYARD_E2E_OUTAGE changes its duration in seconds.
func TestCellStoreOutage(t *testing.T) {
	outage := time.Duration(envInt("AGATEYARD_E2E_OUTAGE", 8)) * time.Second
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 60, duration: outage + 8*time.Second, runMS: 20, seed: 4, addresses: c.live,
			templates: []string{"cut-list", "cutting-run"},
		})
	})
	time.Sleep(2 * time.Second)
	start := time.Now()
	c.setPlatformFaults(platformstandin.Faults{Outage: true})
	time.Sleep(outage)
	end := time.Now()
	before := c.counters()
	c.setPlatformFaults(platformstandin.Faults{})
	time.Sleep(time.Second)
	after := c.counters()
	t.Logf("first second after the outage: %d writes, %d reads, %d throttled",
		after.Writes-before.Writes, after.Reads-before.Reads, after.Throttled-before.Throttled)
	if after.Throttled > before.Throttled {
		t.Errorf("%d calls over the limits of the store", after.Throttled-before.Throttled)
	}
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	refusalsExpected := start.Add(4 * time.Second)
	refused := 0
	for _, call := range h.calls {
		during := call.start.After(refusalsExpected) && call.start.Before(end)
		if call.template == "cut-list" && call.outcome != model.OutcomeRan {
			t.Errorf("idempotent work during the outage: %q %q err %v", call.outcome, call.reason, call.err)
		}
		if call.template == "cutting-run" && during {
			refused++
			if call.outcome == model.OutcomeUnknown {
				t.Errorf("non-idempotent work during the outage: %q %q", call.outcome, call.reason)
			}
			if call.duration > refusalLimit {
				t.Errorf("refusal took %v", call.duration)
			}
		}
		if call.start.After(end.Add(4*time.Second)) && call.outcome != model.OutcomeRan {
			t.Errorf("%s after the outage: %q %q", call.template, call.outcome, call.reason)
		}
	}
	if refused == 0 {
		t.Error("no non-idempotent request was sent during the outage")
	}
}

// Guards against records that are lost or written twice when replies of the store
// are lost or delayed.
func TestStoreLosesReplies(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	c.setPlatformFaults(platformstandin.Faults{LostReplies: 0.2, LostRequests: 0.05, LatencyMS: 15})
	h.load(loadOptions{
		rate: 60, duration: 8 * time.Second, runMS: 20, seed: 5, addresses: c.live,
		templates: []string{"cutting-run", "cut-list"},
	})
	c.setPlatformFaults(platformstandin.Faults{})
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	// Callers resubmit refused requests, so nearly all of them must run eventually.
	if ids, ran := len(h.byID()), h.count()["ran"]; ran < ids*9/10 {
		t.Errorf("only %d of %d requests ran", ran, ids)
	}
}

// Guards against duplicate runs when a shard owner is killed during a store outage
// and another process takes over after it.
func TestKilledDuringStoreOutage(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 60, duration: 14 * time.Second, runMS: 50, seed: 6, addresses: c.live,
			templates: []string{"cut-list", "cutting-run"},
		})
	})
	time.Sleep(2 * time.Second)
	c.setPlatformFaults(platformstandin.Faults{Outage: true})
	time.Sleep(time.Second)
	c.entries[1].kill()
	time.Sleep(4 * time.Second)
	c.setPlatformFaults(platformstandin.Faults{})
	wg.Wait()
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	c.eventually(10*time.Second, "all shards have owners again", func() bool {
		s, err := c.status(c.entries[0])
		return err == nil && len(s.Members) == 2 && sameView(s)
	})
}
