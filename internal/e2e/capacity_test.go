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

// workerCapacity is the default size of a worker of the stand-in.
var workerCapacity = model.Resources{CoresMilli: 32_000, MemoryMB: 65_536}

// sizedTemplates returns the TOML and the sizes of templates of random sizes.
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

// sizedJobs submits jobs of random templates and run times through processes
// that work, and returns the identifiers by template.
func (c *cell) sizedJobs(rnd *rand.Rand, templates, count int, through []*entryProc) map[string][]string {
	c.t.Helper()
	ids := make(map[string][]string)
	for range count {
		template, id := fmt.Sprintf("size-%d", rnd.Intn(templates)), newID()
		work := standin.Work{RunMS: 200 + rnd.Int63n(1300)}
		if c.submitJob(through[rnd.Intn(len(through))], template, id, work) == http.StatusAccepted {
			ids[template] = append(ids[template], id)
		}
	}
	return ids
}

// Guards against a new pool owner, or one that resumes after its lease, that
// gives a worker more than it has because it does not know what runs there.
func TestWorkersNotOverfilledWhenPoolOwnerFreezes(t *testing.T) {
	const seed = 41
	c, rnd, sizes := sizedCell(t, seed)
	first := c.sizedJobs(rnd, len(sizes), 70, c.entries)
	owner := c.workerPoolOwner()
	owner.freeze()
	others := slices.DeleteFunc(slices.Clone(c.entries), func(e *entryProc) bool { return e == owner })
	second := c.sizedJobs(rnd, len(sizes), 50, others)
	time.Sleep(5 * time.Second)
	owner.thaw()
	if jobs, ran := c.finishSized(others[0], sizes, first, second); ran != jobs {
		t.Errorf("%d of %d accepted jobs ran", ran, jobs)
	}
}

// Guards against an owner that counts the work of a restarted worker as ended
// before it ended, or as running afterwards. Whether all accepted jobs run is
// checked by TestAcceptedJobsRunWhenWorkerRestarts.
func TestWorkersNotOverfilledWhenWorkerRestarts(t *testing.T) {
	const seed = 42
	c, rnd, sizes := sizedCell(t, seed)
	first := c.sizedJobs(rnd, len(sizes), 70, c.entries)
	c.restartEndpoint("worker-0001")
	second := c.sizedJobs(rnd, len(sizes), 50, c.entries)
	time.Sleep(time.Second)
	c.restartEndpoint("worker-0001")
	if jobs, ran := c.finishSized(c.entries[0], sizes, first, second); ran != jobs {
		t.Errorf("%d of %d accepted jobs ran", ran, jobs)
	}
}

func sizedCell(t *testing.T, seed int64) (*cell, *rand.Rand, map[string]model.Resources) {
	t.Helper()
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewSource(seed))
	templates, sizes := sizedTemplates(rnd, 8)
	return newCell(t, cellOptions{entries: 3, zones: 3, workers: 3, templates: templates}), rnd, sizes
}

// workerPoolOwner returns the process that owns a pool of workers.
func (c *cell) workerPoolOwner() *entryProc {
	c.t.Helper()
	s, err := c.status(c.entries[0])
	if err != nil {
		c.t.Fatal(err)
	}
	for _, p := range s.Pools {
		for _, m := range s.Members {
			i := slices.IndexFunc(c.entries, func(e *entryProc) bool { return e.http == m.HTTPAddress })
			// The first process answers for the test and stays.
			if m.Incarnation == p.Owner && strings.HasPrefix(string(p.Pool), "worker/") && i > 0 {
				return c.entries[i]
			}
		}
	}
	c.t.Fatalf("no owner of a pool of workers: %+v", s.Pools)
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

// finishSized waits for all jobs and checks what the workers saw. It returns the
// numbers of jobs and of those that ran.
func (c *cell) finishSized(e *entryProc, sizes map[string]model.Resources, batches ...map[string][]string) (jobs, ran int) {
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
		checkFilling(c.t, worker, rs, sizes)
	}
	c.checkNoRoom()
	return jobs, ran
}

// checkFilling verifies that the declared sizes of overlapping runs never add up
// to more than the worker has.
func checkFilling(t *testing.T, worker string, runs []run, sizes map[string]model.Resources) {
	t.Helper()
	type step struct {
		at    time.Time
		delta model.Resources
		start bool
	}
	var steps []step
	for _, r := range runs {
		size, ok := sizes[r.template]
		if !ok {
			t.Errorf("%s: run of unknown template %q", worker, r.template)
		}
		steps = append(steps, step{r.start, size, true})
		if !r.end.IsZero() {
			steps = append(steps, step{r.end, model.Resources{}.Sub(size), false})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		switch {
		case !a.at.Equal(b.at):
			return a.at.Compare(b.at)
		case a.start == b.start:
			return 0
		case a.start:
			return 1 // an end at the same microsecond frees the room first
		default:
			return -1
		}
	})
	var used, most model.Resources
	for _, s := range steps {
		used = used.Add(s.delta)
		most.CoresMilli = max(most.CoresMilli, used.CoresMilli)
		most.MemoryMB = max(most.MemoryMB, used.MemoryMB)
		if s.start && !used.Fits(workerCapacity) {
			t.Errorf("%s: %+v in use at %v, it has %+v", worker, used, s.at, workerCapacity)
		}
	}
	t.Logf("%s: %d runs, at most %d milli-cores and %d MB at once", worker, len(runs), most.CoresMilli, most.MemoryMB)
}

// checkNoRoom verifies that no worker had to refuse a start for lack of room: a
// refusal keeps the promise, and shows accounts that were wrong.
func (c *cell) checkNoRoom() {
	c.t.Helper()
	var endpoints []standin.HostedEndpoint
	if err := getJSON("http://"+c.admins[0]+"/admin/endpoints", &endpoints); err != nil {
		c.t.Fatal(err)
	}
	for _, e := range endpoints {
		c.t.Logf("%s: %d starts, refusals %v", e.ID, e.Stats.Starts, e.Stats.Refusals)
		if n := e.Stats.Refusals[endpoint.RefusalNoCapacity]; n > 0 {
			c.t.Errorf("%s refused %d starts for lack of room", e.ID, n)
		}
	}
}

// Guards against accepted idempotent jobs that are given up when one worker
// restarts with many of them, within the retry limit of the template.
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
