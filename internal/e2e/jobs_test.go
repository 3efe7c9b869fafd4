package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
)

// submitJob submits an asynchronous job and returns the HTTP status, or 0 if the
// call failed.
func (c *cell) submitJob(e *entryProcess, template, id string, work standin.Work) int {
	c.t.Helper()
	work.Echo = id
	body, _ := json.Marshal(work)
	req, _ := http.NewRequest(http.MethodPost, jobsURL(e, template), bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(gateway.HeaderIdempotencyKey, id)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusAccepted {
		c.t.Logf("submit %s: %s %s", id, resp.Status, text)
	}
	return resp.StatusCode
}

func jobsURL(e *entryProcess, template string) string {
	return "http://" + e.http + "/v1/workspaces/kalnins/templates/" + template + "/jobs"
}

// jobStatus returns the status of a job, or a zero status if the call fails.
func (c *cell) jobStatus(e *entryProcess, template, id string) model.JobStatus {
	var s model.JobStatus
	_ = getJSON(jobsURL(e, template)+"/"+id, &s)
	return s
}

// waitDone waits until all jobs are done.
func (c *cell) waitDone(e *entryProcess, template string, ids []string, limit time.Duration) {
	c.t.Helper()
	var last model.JobStatus
	defer func() {
		if c.t.Failed() {
			c.t.Logf("last job that was not done: %+v", last)
		}
	}()
	c.eventually(limit, "jobs done", func() bool {
		for _, id := range ids {
			if last = c.jobStatus(e, template, id); last.State != model.JobDone {
				return false
			}
		}
		return true
	})
}

// Guards against the loss of accepted jobs, queued or running, when the entry
// process that accepted some of them is killed, and then the one that has taken them over.
func TestAcceptedJobsSurviveKilledProcess(t *testing.T) {
	for _, kills := range []int{1, 2} {
		t.Run(fmt.Sprint(kills), func(t *testing.T) { checkJobsSurvive(t, kills) })
	}
}

func checkJobsSurvive(t *testing.T, kills int) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, workers: 3})
	var ids []string
	for i := range 150 {
		id := newID()
		if c.submitJob(c.entries[i%3], "nesting", id, standin.Work{RunMS: 1500}) == http.StatusAccepted {
			ids = append(ids, id)
		}
	}
	if len(ids) < 140 {
		t.Fatalf("only %d jobs accepted", len(ids))
	}
	time.Sleep(500 * time.Millisecond)
	c.entries[0].kill()
	if kills == 2 {
		time.Sleep(8 * time.Second) // the journal of the first is adopted and removed
		c.entries[1].kill()
	}
	left := c.entries[2]
	c.waitDone(left, "nesting", ids, 60*time.Second)
	runs := groupEffects(c.effects())
	for _, id := range ids {
		s := c.jobStatus(left, "nesting", id)
		if s.Outcome != model.OutcomeRan {
			t.Errorf("%s: %q %q after %d attempts", id, s.Outcome, s.Reason, s.Attempts)
		}
		performed := 0
		for _, r := range runs[id] {
			if r.performed {
				performed++
			}
		}
		if performed != 1 {
			t.Errorf("%s: performed %d times", id, performed)
		}
		checkOverlap(t, id, runs[id])
	}
}

// Guards against mass cancellation that blocks other work, or that leaves jobs
// running although their outcome is not-run. AGATEYARD_E2E_CANCELS changes the
// number of jobs, up to 10,000.
func TestMassCancellation(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, workers: 3})
	var ids []string
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(64)
	for i := range int(envInt("AGATEYARD_E2E_CANCELS", 300)) {
		g.Go(func() error {
			id := newID()
			if c.submitJob(c.entries[i%3], "nesting", id, standin.Work{RunMS: 60_000}) == http.StatusAccepted {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, id)
			}
			return nil
		})
	}
	_ = g.Wait() // always nil; jobs that were not accepted are missing from ids
	start := time.Now()
	c.cancelMany("nesting", ids)
	t.Logf("%d cancelled in %v", len(ids), time.Since(start).Round(time.Millisecond))
	c.waitDone(c.entries[2], "nesting", ids, 20*time.Second)
	runs := groupEffects(c.effects())
	for _, id := range ids {
		s := c.jobStatus(c.entries[2], "nesting", id)
		if s.Outcome == model.OutcomeNotRun && len(runs[id]) > 0 {
			t.Errorf("%s: outcome not-run, but it started", id)
		}
		if s.Outcome == model.OutcomeRan && s.Reason != model.ReasonCancelled {
			t.Errorf("%s: started, but its reason is not the cancellation: %q", id, s.Reason)
		}
		for _, r := range runs[id] {
			if r.performed {
				t.Errorf("%s: performed its effect after the cancellation", id)
			}
		}
	}
	// The workers must accept new work again.
	id := newID()
	c.submitJob(c.entries[0], "nesting", id, standin.Work{RunMS: 10})
	c.waitDone(c.entries[0], "nesting", []string{id}, 15*time.Second)
}

// Guards against a job that keeps running because its cancellation reached the
// pool owner before its dispatch.
func TestCancelRacesWithStart(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, workers: 6})
	var ids []string
	for i := range 150 {
		id := newID()
		if c.submitJob(c.entries[i%3], "nesting", id, standin.Work{RunMS: 60_000}) != http.StatusAccepted {
			continue
		}
		ids = append(ids, id)
		time.Sleep(time.Duration(i%8) * time.Millisecond)
		c.cancelMany("nesting", []string{id})
	}
	c.waitDone(c.entries[0], "nesting", ids, 10*time.Second)
}

func (c *cell) cancelMany(template string, ids []string) {
	c.t.Helper()
	type item struct {
		Template string `json:"template"`
		ID       string `json:"id"`
	}
	var req struct {
		Requests []item `json:"requests"`
	}
	for _, id := range ids {
		req.Requests = append(req.Requests, item{Template: template, ID: id})
	}
	body, _ := json.Marshal(req)
	resp, err := client.Post("http://"+c.entries[0].http+"/v1/workspaces/kalnins/cancel", "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		c.t.Fatalf("cancel: %s %s", resp.Status, text)
	}
}

// Guards against gangs that start only some of their tasks, and against services
// whose replicas are not kept running or not stopped.
func TestGangAndService(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, workers: 6, templates: gangTemplates})
	gang, service := newID(), newID()
	if code := c.submitJob(c.entries[0], "panel-set", gang, standin.Work{RunMS: 500}); code != http.StatusAccepted {
		t.Fatalf("gang: status %d", code)
	}
	if code := c.submitJob(c.entries[1], "price-feed", service, standin.Work{RunMS: -1}); code != http.StatusAccepted {
		t.Fatalf("service: status %d", code)
	}
	c.waitDone(c.entries[2], "panel-set", []string{gang}, 20*time.Second)
	if s := c.jobStatus(c.entries[2], "panel-set", gang); s.Outcome != model.OutcomeRan {
		t.Errorf("gang: %+v", s)
	}
	if runs := groupEffects(c.effects())[gang]; len(runs) != 4 {
		t.Errorf("gang started %d tasks", len(runs))
	}
	c.eventually(15*time.Second, "all replicas run", func() bool {
		return c.jobStatus(c.entries[0], "price-feed", service).Running == 3
	})
	c.cancelMany("price-feed", []string{service})
	c.waitDone(c.entries[0], "price-feed", []string{service}, 20*time.Second)
}

// Guards against a gang that does not fit on one rack and therefore waits forever,
// or starts only its tasks on one rack.
func TestGangOverSeveralRacks(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3, workers: 3, templates: gangTemplates})
	var ids []string
	for i := range 4 {
		id := newID()
		if code := c.submitJob(c.entries[i%3], "wide-set", id, standin.Work{RunMS: 300}); code != http.StatusAccepted {
			t.Fatalf("gang: status %d", code)
		}
		ids = append(ids, id)
	}
	c.waitDone(c.entries[0], "wide-set", ids, 25*time.Second)
	runs := groupEffects(c.effects())
	for _, id := range ids {
		if s := c.jobStatus(c.entries[0], "wide-set", id); s.Outcome != model.OutcomeRan {
			t.Errorf("%s: %q %q", id, s.Outcome, s.Reason)
		}
		endpoints := make(map[string]bool)
		for _, r := range runs[id] {
			endpoints[r.endpoint] = true
		}
		if len(runs[id]) != 3 || len(endpoints) != 3 {
			t.Errorf("%s: %d tasks on %d workers", id, len(runs[id]), len(endpoints))
		}
	}
}

const gangTemplates = `workspace = "kalnins"
weight = 1.0

[template.panel-set]
kind = "gang"
tasks = 4
urgency = 5
max_wait = "1m"
idempotent = true
flood_share = 0.9
cores_milli = 8000
memory_mb = 8192
run_limit = "30s"

[template.wide-set]
kind = "gang"
tasks = 3
urgency = 5
max_wait = "1m"
idempotent = true
flood_share = 1.0
cores_milli = 20000
memory_mb = 8192
run_limit = "30s"

[template.price-feed]
kind = "service"
tasks = 3
urgency = 6
max_wait = "1m"
idempotent = true
flood_share = 0.5
cores_milli = 2000
memory_mb = 1024
`
