package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	platformstandin "github.com/agateyard/agateyard/internal/platform/standin"
)

// loadWithLeavingRunner runs load while startLeaving makes one runner leave, and
// checks that the runner gets no start later than leavingLimit after that. It
// returns the calls.
func loadWithLeavingRunner(t *testing.T, c *cell, seed int64, vm string, startLeaving func()) *history {
	t.Helper()
	t.Logf("seed %d", seed)
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 120, duration: 10 * time.Second, runMS: 60, seed: seed, addresses: c.live,
			templates: []string{"cut-list", "cutting-run"},
		})
	})
	time.Sleep(2 * time.Second)
	start := time.Now()
	startLeaving()
	wg.Wait()
	effects := c.effects()
	h.report(t)
	h.check(t, effects, nonIdempotentTemplates)
	before, last := lastStart(effects, vm, start)
	t.Logf("%d starts before, the last start %v after the change", before, last.Round(time.Millisecond))
	if before == 0 {
		t.Error("the endpoint got no work before it was leaving")
	}
	if last > leavingLimit {
		t.Errorf("start %v after the endpoint began to leave", last)
	}
	return h
}

// lastStart returns the number of starts before the given time, and how long after
// that time the last start was, or 0 if there was none.
func lastStart(effects []standin.Effect, vm string, at time.Time) (before int, last time.Duration) {
	for _, e := range effects {
		if e.Endpoint != vm || e.Event != standin.EffectStart {
			continue
		}
		if e.Time().Before(at) {
			before++
			continue
		}
		last = max(last, e.Time().Sub(at))
	}
	return before, last
}

// checkIdempotentRan verifies that all idempotent requests ran.
func (h *history) checkIdempotentRan(t *testing.T) {
	t.Helper()
	for _, call := range h.calls {
		if call.template == "cut-list" && call.outcome != model.OutcomeRan {
			t.Errorf("cut-list: outcome %q reason %q err %v", call.outcome, call.reason, call.err)
		}
	}
}

// Guards against a drain that does not reach the pool owner because the store goes
// down right after the drain was accepted. Watches are stalled before the drain, so
// that only gossip can propagate it.
func TestDrainSurvivesStoreOutage(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	const vm = "runner-orders-0001"
	loadWithLeavingRunner(t, c, 21, vm, func() {
		c.setPlatformFaults(platformstandin.Faults{StallWatches: true})
		c.drain(vm)
		c.setPlatformFaults(platformstandin.Faults{Outage: true})
	}).checkIdempotentRan(t)
	c.setPlatformFaults(platformstandin.Faults{})
}

// Guards against new work for a VM that the platform lists as leaving. The VM
// itself does not know this and still accepts starts.
func TestVMListedAsLeavingGetsNoNewWork(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	const vm = "runner-orders-0002"
	h := loadWithLeavingRunner(t, c, 22, vm, func() { c.setVMState(vm, platform.VMLeaving) })
	h.checkIdempotentRan(t)
	if n := h.count()["ran"]; n != len(h.calls) {
		t.Errorf("%d of %d ran", n, len(h.calls))
	}
}

// Guards against new work for an endpoint that reports that it is leaving but still
// accepts starts.
func TestEndpointReportingLeavingGetsNoNewWork(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	const vm = "runner-orders-0003"
	h := loadWithLeavingRunner(t, c, 23, vm, func() {
		c.setEndpointFaults(vm, standin.Faults{Leaving: true, LeavingAccepts: true})
	})
	h.checkIdempotentRan(t)
	if n := h.count()["ran"]; n != len(h.calls) {
		t.Errorf("%d of %d ran", n, len(h.calls))
	}
}

// setVMState sets the state of a VM in the platform's VM list.
func (c *cell) setVMState(id string, state platform.VMState) {
	c.t.Helper()
	var list []platform.VM
	if err := getJSON(c.platform+platform.PathVMs, &list); err != nil {
		c.t.Fatal(err)
	}
	for _, vm := range list {
		if vm.ID != id {
			continue
		}
		vm.State = state
		body, _ := json.Marshal(vm)
		resp, err := client.Post(c.platform+"/admin/vms", "application/json", bytes.NewReader(body))
		if err != nil {
			c.t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			c.t.Fatalf("set state of VM %s: %s", id, resp.Status)
		}
		return
	}
	c.t.Fatalf("the platform does not list %s", id)
}
