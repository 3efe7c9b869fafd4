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

// leavingLoad runs load while begin makes one runner leave, and checks that the
// runner gets no start later than the limit. It returns the calls.
func leavingLoad(t *testing.T, c *cell, seed int64, vm string, begin func()) *history {
	t.Helper()
	t.Logf("seed %d", seed)
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 120, length: 10 * time.Second, runMS: 60, seed: seed, addresses: c.live,
			templates: []string{"cut-list", "cutting-run"},
		})
	})
	time.Sleep(2 * time.Second)
	began := time.Now()
	begin()
	wg.Wait()
	effects := c.effects()
	h.report(t)
	h.check(t, effects, nonIdempotentTemplates)
	before, last := lastStart(effects, vm, began)
	t.Logf("%d starts before, the last start %v after the change", before, last.Round(time.Millisecond))
	if before == 0 {
		t.Error("the endpoint had no work before")
	}
	if last > leavingLimit {
		t.Errorf("start %v after the endpoint was to leave", last)
	}
	return h
}

// lastStart counts the starts before a time and says how long after it the last
// start was; 0 for none.
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

// checkIdempotentRan verifies that the callers of idempotent work noticed nothing.
func (h *history) checkIdempotentRan(t *testing.T) {
	t.Helper()
	for _, call := range h.calls {
		if call.template == "cut-list" && call.outcome != model.OutcomeRan {
			t.Errorf("cut-list: outcome %q reason %q err %v", call.outcome, call.reason, call.err)
		}
	}
}

// Guards against a drain that is not passed on to the process that owns the pool
// when the store goes down right after it was accepted. Watches deliver nothing
// from before the drain, so that only gossip can carry it.
func TestDrainHoldsWhenStoreGoesDown(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	const vm = "runner-orders-0001"
	leavingLoad(t, c, 21, vm, func() {
		c.setPlatformFaults(platformstandin.Faults{StallWatches: true})
		c.drain(vm)
		c.setPlatformFaults(platformstandin.Faults{Outage: true})
	}).checkIdempotentRan(t)
	c.setPlatformFaults(platformstandin.Faults{})
}

// Guards against new work for a VM that the platform's list names as leaving.
// The VM itself does not know and accepts starts.
func TestLeavingInVMListGetsNoNewWork(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	const vm = "runner-orders-0002"
	h := leavingLoad(t, c, 22, vm, func() { c.setVMState(vm, platform.VMLeaving) })
	h.checkIdempotentRan(t)
	if n := h.count()["ran"]; n != len(h.calls) {
		t.Errorf("%d of %d ran", n, len(h.calls))
	}
}

// Guards against new work for an endpoint that announces in its own reports
// that it leaves, and still accepts starts.
func TestLeavingInReportGetsNoNewWork(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	const vm = "runner-orders-0003"
	h := leavingLoad(t, c, 23, vm, func() {
		c.setEndpointFaults(vm, standin.Faults{Leaving: true, LeavingAccepts: true})
	})
	h.checkIdempotentRan(t)
	if n := h.count()["ran"]; n != len(h.calls) {
		t.Errorf("%d of %d ran", n, len(h.calls))
	}
}

// setVMState changes the state of a VM in the platform's list.
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
			c.t.Fatalf("change of VM %s: %s", id, resp.Status)
		}
		return
	}
	c.t.Fatalf("the platform does not list %s", id)
}
