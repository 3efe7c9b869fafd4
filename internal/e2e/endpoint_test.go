package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
)

// leavingLimit is the time after which a leaving endpoint must get no new work.
const leavingLimit = 3 * time.Second

// Guards against new work for an endpoint that an operator drains, and against a
// drain that interrupts running work.
func TestDrainedRunnerGetsNoNewWork(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	var wg sync.WaitGroup
	wg.Go(func() {
		h.load(loadOptions{
			rate: 80, duration: 8 * time.Second, runMS: 60, seed: 7, addresses: c.live,
			templates: []string{"cut-list", "cutting-run"},
		})
	})
	time.Sleep(2 * time.Second)
	const vm = "runner-orders-0000"
	drained := time.Now()
	c.drain(vm)
	wg.Wait()
	effects := c.effects()
	h.report(t)
	h.check(t, effects, nonIdempotentTemplates)
	if n := h.count()["ran"]; n != len(h.calls) {
		t.Errorf("%d of %d ran", n, len(h.calls))
	}
	before, after := 0, 0
	for _, e := range effects {
		if e.Endpoint != vm || e.Event != standin.EffectStart {
			continue
		}
		if e.Time().Before(drained) {
			before++
		}
		if e.Time().After(drained.Add(leavingLimit)) {
			after++
		}
	}
	if before == 0 || after > 0 {
		t.Errorf("%d starts before the drain, %d after the limit", before, after)
	}
}

func (c *cell) drain(vm string) {
	c.t.Helper()
	body, _ := json.Marshal(map[string]any{"drain": []string{vm}, "reason": "test"})
	req, _ := http.NewRequest(http.MethodPost, "http://"+c.entries[0].http+"/v1/config/drains", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(gateway.HeaderAuthor, "e2e")
	req.Header.Set("If-None-Match", "*")
	resp, err := client.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		var text bytes.Buffer
		_, _ = text.ReadFrom(resp.Body)
		c.t.Fatalf("drain: %s %s", resp.Status, text.String())
	}
}

// setEndpointFaults sets the faults of one endpoint of the first stand-in process, or
// of all its endpoints if vm is empty. The first process has the runners, or the
// workers in a cell without runners.
func (c *cell) setEndpointFaults(vm string, f standin.Faults) {
	c.t.Helper()
	body, _ := json.Marshal(f)
	url := "http://" + c.admins[0] + "/admin/faults"
	if vm != "" {
		url += "?endpoint=" + vm
	}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Fatalf("set endpoint faults: %s", resp.Status)
	}
}

// Guards against duplicate runs and wrong answers when a runner loses or truncates
// its replies while the work goes on.
func TestRunnerLosesReplies(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	c.setEndpointFaults("runner-orders-0001", standin.Faults{LoseReplies: true})
	c.setEndpointFaults("runner-orders-0002", standin.Faults{TruncateAnswers: true})
	h.load(loadOptions{
		rate: 40, duration: 6 * time.Second, runMS: 40, seed: 8, addresses: c.live,
		templates: []string{"cut-list", "cutting-run"},
	})
	c.setEndpointFaults("", standin.Faults{})
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	if h.count()["ran"] < len(h.calls)*9/10 {
		t.Errorf("outcomes %v", h.count())
	}
}

// Guards against a runner that fails all its work and thereby attracts most of the
// load.
func TestRunnerFailsEverything(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, runners: 6})
	h := &history{}
	c.setEndpointFaults("runner-orders-0003", standin.Faults{FailAll: true})
	h.load(loadOptions{
		rate: 60, duration: 8 * time.Second, runMS: 30, seed: 9, addresses: c.live,
		templates: []string{"cut-list", "quote-render"},
	})
	h.report(t)
	h.check(t, c.effects(), nonIdempotentTemplates)
	failed := 0
	for _, call := range h.calls {
		if call.outcome != model.OutcomeRan || call.status != http.StatusOK {
			failed++
		}
	}
	if failed > len(h.calls)/50 {
		t.Errorf("%d of %d callers got failures of one runner", failed, len(h.calls))
	}
}
