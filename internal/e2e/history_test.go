package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
)

// call is one HTTP call of a caller and its result.
type call struct {
	id       string
	template string
	address  string        // of the entry process
	outcome  model.Outcome // empty if no answer reached the caller
	reason   string
	status   int
	echo     string
	err      error
	start    time.Time
	duration time.Duration
}

// history collects the calls of a test. It is safe for concurrent use.
type history struct {
	mu    sync.Mutex
	calls []call
}

func (h *history) add(c call) call {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
	return c
}

// count returns the number of calls by outcome; calls without an answer count as
// "error".
func (h *history) count() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]int)
	for _, c := range h.calls {
		name := string(c.outcome)
		if name == "" {
			name = "error"
		}
		out[name]++
	}
	return out
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// post sends a synchronous request and records it.
func (h *history) post(address, template, id string, work standin.Work) call {
	return h.postContext(context.Background(), address, template, id, work)
}

// postContext is post by a caller that cancels the call when ctx is done.
func (h *history) postContext(ctx context.Context, address, template, id string, work standin.Work) call {
	work.Echo = id
	body, _ := json.Marshal(work)
	c := call{id: id, template: template, address: address, start: time.Now()}
	url := "http://" + address + "/v1/workspaces/kalnins/templates/" + template + "/requests"
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(gateway.HeaderIdempotencyKey, id)
	resp, err := client.Do(req)
	c.duration = time.Since(c.start)
	if err != nil {
		c.err = err
		return h.add(c)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	c.duration = time.Since(c.start)
	if err != nil {
		c.err = err
		return h.add(c)
	}
	c.status = resp.StatusCode
	c.outcome = model.Outcome(resp.Header.Get(gateway.HeaderOutcome))
	c.reason = resp.Header.Get(gateway.HeaderReason)
	if c.outcome == model.OutcomeRan && resp.StatusCode == http.StatusOK {
		var a struct {
			Echo string `json:"echo"`
		}
		if err := json.Unmarshal(answer, &a); err != nil {
			c.err = fmt.Errorf("incomplete answer: %w", err)
		}
		c.echo = a.Echo
	}
	return h.add(c)
}

// check verifies the recorded outcomes and answers against the effect logs of the
// endpoints.
func (h *history) check(t *testing.T, effects []standin.Effect, nonIdempotent map[string]bool) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	byID := groupEffects(effects)
	for _, c := range h.calls {
		if c.err == nil && c.outcome == "" {
			t.Errorf("%s: status %d without an outcome", c.id, c.status)
		}
		if c.echo != "" && c.echo != c.id {
			t.Errorf("%s: got the answer to %s", c.id, c.echo)
		}
	}
	for id, calls := range h.byID() {
		checkOutcomes(t, id, calls, byID[id])
	}
	for id, runs := range byID {
		checkOverlap(t, id, runs)
		performed := 0
		for _, r := range runs {
			if r.performed {
				performed++
			}
		}
		if len(runs) > 0 && nonIdempotent[runs[0].template] && performed > 1 {
			t.Errorf("%s: %d effects of a non-idempotent request", id, performed)
		}
	}
}

func (h *history) byID() map[string][]call {
	out := make(map[string][]call)
	for _, c := range h.calls {
		out[c.id] = append(out[c.id], c)
	}
	return out
}

// checkOutcomes compares the outcomes that the callers of one identifier received
// with its runs. After a call without an answer, a resubmission may have run.
func checkOutcomes(t *testing.T, id string, calls []call, runs []run) {
	t.Helper()
	ran := false
	for _, c := range calls {
		ran = ran || c.outcome == model.OutcomeRan
	}
	started := len(runs) > 0
	if ran && !started {
		t.Errorf("%s: outcome ran, but nothing started", id)
	}
	for _, c := range calls {
		if c.outcome != model.OutcomeNotRun {
			continue
		}
		// not-run covers the time up to the answer. Only a run that started before
		// the answer contradicts it; a resubmission of the identifier may run later.
		for _, r := range runs {
			if r.start.Before(c.start.Add(c.duration)) {
				t.Errorf("%s: outcome not-run (%s), but it started at %v, %v before the answer", id, c.reason, r.start, c.start.Add(c.duration).Sub(r.start))
			}
		}
	}
}

// run is one attempt as logged by an endpoint.
type run struct {
	template  string
	endpoint  string
	start     time.Time
	end       time.Time // zero while it runs
	performed bool
}

func groupEffects(effects []standin.Effect) map[string][]run {
	byAttempt := make(map[string]*run)
	ids := make(map[string]string)
	for _, e := range effects {
		key := string(e.Attempt) + "@" + e.Endpoint + "@" + e.Instance
		r := byAttempt[key]
		if r == nil {
			r = &run{template: e.Template, endpoint: e.Endpoint}
			byAttempt[key] = r
			ids[key] = e.Echo
		}
		switch e.Event {
		case standin.EffectStart:
			r.start = e.Time()
		case standin.EffectPerformed:
			r.performed = true
		case standin.EffectEnd:
			r.end = e.Time()
		}
	}
	out := make(map[string][]run)
	for key, r := range byAttempt {
		out[ids[key]] = append(out[ids[key]], *r)
	}
	return out
}

// checkOverlap verifies that no two runs of a request overlap.
func checkOverlap(t *testing.T, id string, runs []run) {
	t.Helper()
	sort.Slice(runs, func(i, j int) bool { return runs[i].start.Before(runs[j].start) })
	for i := 1; i < len(runs); i++ {
		before := runs[i-1]
		if before.end.IsZero() || runs[i].start.Before(before.end) {
			t.Errorf("%s: ran on %s and %s concurrently", id, before.endpoint, runs[i].endpoint)
		}
	}
}

// nonIdempotentTemplates are the non-idempotent templates of testTemplates.
var nonIdempotentTemplates = map[string]bool{"kalnins/cutting-run": true}
