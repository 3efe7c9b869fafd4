package e2e

import (
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// workerCapacity is the default capacity of a stand-in worker.
var workerCapacity = model.Resources{CoresMilli: 32_000, MemoryMB: 65_536}

// sizedTemplates returns the TOML of templates with random resource requests, and
// the requests by template.
func sizedTemplates(rnd *rand.Rand, count int) (string, map[string]model.Resources) {
	var text strings.Builder
	text.WriteString("workspace = \"kalnins\"\n")
	sizes := make(map[string]model.Resources)
	for i := range count {
		size := model.Resources{CoresMilli: 500 + rnd.Int63n(15_500), MemoryMB: 512 + rnd.Int63n(39_488)}
		name := fmt.Sprintf("size-%d", i)
		sizes["kalnins/"+name] = size
		fmt.Fprintf(&text, `
[template.%s]
kind = "job"
urgency = %d
max_wait = "1m"
idempotent = true
flood_share = 0.9
cores_milli = %d
memory_mb = %d
run_limit = "30s"
retry_limit = 5
`, name, 1+rnd.Intn(8), size.CoresMilli, size.MemoryMB)
	}
	return text.String(), sizes
}

// submitSizedJobs submits jobs with random templates and run times through the given
// entry processes, and returns the identifiers of accepted jobs by template.
func (c *cell) submitSizedJobs(rnd *rand.Rand, templates, count int, entries []*entryProcess) map[string][]string {
	c.t.Helper()
	ids := make(map[string][]string)
	for range count {
		template, id := fmt.Sprintf("size-%d", rnd.Intn(templates)), newID()
		work := standin.Work{RunMS: 200 + rnd.Int63n(1300)}
		if c.submitJob(entries[rnd.Intn(len(entries))], template, id, work) == http.StatusAccepted {
			ids[template] = append(ids[template], id)
		}
	}
	return ids
}

// Guards against a new pool owner, or one that resumes after its lease expired,
// that overcommits a worker because it does not know what runs there.
func TestWorkersNotOvercommittedWhenPoolOwnerPauses(t *testing.T) {
	const seed = 41
	c, rnd, sizes := newSizedCell(t, seed)
	first := c.submitSizedJobs(rnd, len(sizes), 70, c.entries)
	owner := c.workerPoolOwner()
	owner.pause()
	others := slices.DeleteFunc(slices.Clone(c.entries), func(e *entryProcess) bool { return e == owner })
	second := c.submitSizedJobs(rnd, len(sizes), 50, others)
	time.Sleep(5 * time.Second)
	owner.resume()
	if jobs, ran := c.checkSizedJobs(others[0], sizes, first, second); ran != jobs {
		t.Errorf("%d of %d accepted jobs ran", ran, jobs)
	}
}

// Guards against a pool owner that releases the resources of a restarted worker's
// attempts before they end, or keeps them allocated after the restart.
// TestAcceptedJobsRunWhenWorkerRestarts checks the retries of accepted jobs when a
// worker restarts with many of them.
func TestWorkersNotOvercommittedWhenWorkerRestarts(t *testing.T) {
	const seed = 42
	c, rnd, sizes := newSizedCell(t, seed)
	first := c.submitSizedJobs(rnd, len(sizes), 70, c.entries)
	c.restartEndpoint("worker-0001")
	second := c.submitSizedJobs(rnd, len(sizes), 50, c.entries)
	time.Sleep(time.Second)
	c.restartEndpoint("worker-0001")
	if jobs, ran := c.checkSizedJobs(c.entries[0], sizes, first, second); ran != jobs {
		t.Errorf("%d of %d accepted jobs ran", ran, jobs)
	}
}

func newSizedCell(t *testing.T, seed int64) (*cell, *rand.Rand, map[string]model.Resources) {
	t.Helper()
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewSource(seed))
	templates, sizes := sizedTemplates(rnd, 8)
	return newCell(t, cellOptions{entries: 3, zones: 3, workers: 3, templates: templates}), rnd, sizes
}

// workerPoolOwner returns an entry process, other than the first, that owns a pool
// of workers.
func (c *cell) workerPoolOwner() *entryProcess {
	c.t.Helper()
	s, err := c.status(c.entries[0])
	if err != nil {
		c.t.Fatal(err)
	}
	for _, p := range s.Pools {
		for _, m := range s.Members {
			i := slices.IndexFunc(c.entries, func(e *entryProcess) bool { return e.http == m.HTTPAddress })
			// The test uses the first process for its own calls, so it must keep running.
			if m.Incarnation == p.Owner && strings.HasPrefix(string(p.Pool), "worker/") && i > 0 {
				return c.entries[i]
			}
		}
	}
	c.t.Fatalf("no suitable owner of a worker pool: %+v", s.Pools)
	return nil
}

func (c *cell) restartEndpoint(id string) {
	c.t.Helper()
	resp, err := client.Post("http://"+c.admins[0]+"/admin/restart?endpoint="+id, "", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Fatalf("restart of %s: %s", id, resp.Status)
	}
}

// checkSizedJobs waits until all jobs are done and checks the effect logs of the
// workers. It returns the number of jobs and how many of them ran.
func (c *cell) checkSizedJobs(e *entryProcess, sizes map[string]model.Resources, batches ...map[string][]string) (jobs, ran int) {
	c.t.Helper()
	runs := make(map[string][]run)
	for _, batch := range batches {
		for template, ids := range batch {
			c.waitDone(e, template, ids, 40*time.Second)
			for _, id := range ids {
				jobs++
				if s := c.jobStatus(e, template, id); s.Outcome == model.OutcomeRan {
					ran++
				} else {
					c.t.Logf("%s: outcome %q reason %q after %d attempts", id, s.Outcome, s.Reason, s.Attempts)
				}
			}
		}
	}
	for id, rs := range groupEffects(c.effects()) {
		checkOverlap(c.t, id, rs)
		for _, r := range rs {
			runs[r.endpoint] = append(runs[r.endpoint], r)
		}
	}
	c.t.Logf("%d of %d jobs ran", ran, jobs)
	if jobs < 100 {
		c.t.Errorf("only %d jobs accepted", jobs)
	}
	for worker, rs := range runs {
		checkNoOvercommit(c.t, worker, rs, sizes)
	}
	c.checkNoCapacityRefusals()
	return jobs, ran
}

// checkNoOvercommit verifies that the resource requests of overlapping runs never
// add up to more than the capacity of the worker.
func checkNoOvercommit(t *testing.T, worker string, runs []run, sizes map[string]model.Resources) {
	t.Helper()
	type usageChange struct {
		at    time.Time
		delta model.Resources
		start bool
	}
	var changes []usageChange
	for _, r := range runs {
		size, ok := sizes[r.template]
		if !ok {
			t.Errorf("%s: run of unknown template %q", worker, r.template)
		}
		changes = append(changes, usageChange{r.start, size, true})
		if !r.end.IsZero() {
			changes = append(changes, usageChange{r.end, model.Resources{}.Sub(size), false})
		}
	}
	slices.SortStableFunc(changes, func(a, b usageChange) int {
		switch {
		case !a.at.Equal(b.at):
			return a.at.Compare(b.at)
		case a.start == b.start:
			return 0
		case a.start:
			return 1 // a run that ends in the same microsecond releases its resources first
		default:
			return -1
		}
	})
	var used, peak model.Resources
	for _, s := range changes {
		used = used.Add(s.delta)
		peak.CoresMilli = max(peak.CoresMilli, used.CoresMilli)
		peak.MemoryMB = max(peak.MemoryMB, used.MemoryMB)
		if s.start && !used.Fits(workerCapacity) {
			t.Errorf("%s: %+v in use at %v, capacity %+v", worker, used, s.at, workerCapacity)
		}
	}
	t.Logf("%s: %d runs, at most %d millicores and %d MB at once", worker, len(runs), peak.CoresMilli, peak.MemoryMB)
}

// checkNoCapacityRefusals verifies that no worker refused a start for lack of
// capacity. Such a refusal prevents an overcommit, but it shows that the pool owner
// tracked the free capacity wrongly.
func (c *cell) checkNoCapacityRefusals() {
	c.t.Helper()
	var endpoints []standin.HostedEndpoint
	if err := getJSON("http://"+c.admins[0]+"/admin/endpoints", &endpoints); err != nil {
		c.t.Fatal(err)
	}
	for _, e := range endpoints {
		c.t.Logf("%s: %d starts, refusals %v", e.ID, e.Stats.Starts, e.Stats.Refusals)
		if n := e.Stats.Refusals[endpoint.RefusalNoCapacity]; n > 0 {
			c.t.Errorf("%s refused %d starts for lack of capacity", e.ID, n)
		}
	}
}

// Guards against accepted idempotent jobs that fail although their retry limit
// allows another attempt, when one worker restarts while it runs many of them.
func TestAcceptedJobsRunWhenWorkerRestarts(t *testing.T) {
	const seed, count = 43, 150
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewSource(seed))
	c := newCell(t, cellOptions{entries: 3, zones: 3, workers: 3})
	var ids []string
	for range count {
		id := newID()
		work := standin.Work{RunMS: 1500 + rnd.Int63n(500)}
		if c.submitJob(c.entries[rnd.Intn(3)], "nesting", id, work) == http.StatusAccepted {
			ids = append(ids, id)
		}
	}
	time.Sleep(300 * time.Millisecond)
	c.restartEndpoint("worker-0001")
	reasons := make(map[string]int)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		clear(reasons)
		for _, id := range ids {
			s := c.jobStatus(c.entries[0], "nesting", id)
			reasons[fmt.Sprintf("%s %s %s after %d attempts", s.State, s.Outcome, s.Reason, s.Attempts)]++
			if s.State != model.JobDone {
				reasons["open"]++
			}
		}
		if reasons["open"] == 0 {
			break
		}
	}
	t.Logf("%d accepted, %v", len(ids), reasons)
	ran := 0
	for _, id := range ids {
		if c.jobStatus(c.entries[0], "nesting", id).Outcome == model.OutcomeRan {
			ran++
		}
	}
	if ran != count {
		t.Errorf("%d of %d jobs ran", ran, count)
	}
}
