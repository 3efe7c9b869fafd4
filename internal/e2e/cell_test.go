package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/freeport"
	"github.com/agateyard/agateyard/internal/gateway"
	platformstandin "github.com/agateyard/agateyard/internal/platform/standin"
)

// cellOptions configure a cell.
type cellOptions struct {
	entries   int
	zones     int
	runners   int // of the service "orders", spread over the zones
	workers   int
	templates string // TOML of workspace kalnins
	useLinks  bool   // entry processes connect to each other through cell.links
}

// cell is a running cell of separate processes.
type cell struct {
	t        *testing.T
	dir      string
	opts     cellOptions
	platform string // base URL
	admins   []string
	mu       sync.Mutex // guards entries
	entries  []*entryProcess
	links    *links // nil unless useLinks is set
}

// entryProcess is one entry process of a cell.
type entryProcess struct {
	*process
	http       string // ip:port
	rpc        string
	configPath string
}

// testTemplates are the default templates of a cell.
const testTemplates = `workspace = "kalnins"
weight = 1.0

[template.cut-list]
kind = "request"
service = "orders"
urgency = 8
max_wait = "10s"
idempotent = true
flood_share = 0.5
reserve = 0.1
run_limit = "5s"
retry_limit = 5

[template.cutting-run]
kind = "request"
service = "orders"
urgency = 7
max_wait = "10s"
idempotent = false
flood_share = 0.5
run_limit = "5s"

[template.quote-render]
kind = "request"
service = "orders"
urgency = 2
max_wait = "10s"
idempotent = true
flood_share = 0.5
run_limit = "5s"
retry_limit = 2

[template.nesting]
kind = "job"
urgency = 3
max_wait = "1m"
idempotent = true
flood_share = 0.9
cores_milli = 1000
memory_mb = 1024
run_limit = "30s"
retry_limit = 2
`

var client = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 256},
}

func newCell(t *testing.T, o cellOptions) *cell {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes; skipped in short mode")
	}
	if o.templates == "" {
		o.templates = testTemplates
	}
	c := &cell{t: t, dir: t.TempDir(), opts: o}
	t.Cleanup(func() {
		if t.Failed() {
			c.dumpLogs()
		}
	})
	if o.useLinks {
		c.links = newLinks(t)
	}
	c.startPlatform()
	c.startEndpoints()
	for i := range o.entries {
		c.entries = append(c.entries, c.startEntry(i))
	}
	c.waitReady(c.entries...)
	c.applyTemplates(o.templates)
	c.waitCapacity()
	return c
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (c *cell) startPlatform() {
	address := freeAddress(c.t)
	start(c.t, c.dir, "platform", "agateyard-standin", "platform", "--listen", address, "--vm-lag", "500ms")
	c.platform = "http://" + address
	c.eventually(5*time.Second, "the platform answers", func() bool {
		resp, err := client.Get(c.platform + "/admin/counters")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (c *cell) startEndpoints() {
	zones := make([]string, c.opts.zones)
	for i := range zones {
		zones[i] = zoneName(i)
	}
	run := func(kind string, count int, extra ...string) {
		if count == 0 {
			return
		}
		admin := freeAddress(c.t)
		args := append([]string{kind, "--count", fmt.Sprint(count), "--platform", c.platform, "--admin", admin}, extra...)
		for _, z := range zones {
			args = append(args, "--zone", z)
		}
		start(c.t, c.dir, kind, "agateyard-standin", args...)
		c.admins = append(c.admins, admin)
	}
	run("runner", c.opts.runners, "--service", "orders")
	run("worker", c.opts.workers)
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i+1) }

// startEntry starts the i-th entry process with new addresses.
func (c *cell) startEntry(i int) *entryProcess {
	c.t.Helper()
	e := &entryProcess{http: freeAddress(c.t), rpc: freeAddress(c.t)}
	name := fmt.Sprintf("entry-%d-%d", i, time.Now().UnixNano()%1_000_000)
	e.configPath = filepath.Join(c.dir, name+".toml")
	settings := fmt.Sprintf("name = %q\nzone = %q\nhttp_address = %q\nrpc_address = %q\nplatform_url = %q\n\n[stop]\ndrain_delay = \"300ms\"\ntimeout = \"30s\"\n",
		name, zoneName(i%c.opts.zones), e.http, e.rpc, c.platform)
	listen := e.rpc
	if c.links != nil {
		listen = freeAddress(c.t)
		settings = fmt.Sprintf("rpc_listen_address = %q\n", listen) + settings
	}
	if err := os.WriteFile(e.configPath, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	e.process = start(c.t, c.dir, name, "agateyard-entry", "--config", e.configPath)
	if c.links != nil {
		c.links.serve(e, listen)
	}
	return e
}

// waitReady waits until the processes are ready and have the same view, with all
// running entry processes as members.
func (c *cell) waitReady(entries ...*entryProcess) {
	c.t.Helper()
	for _, e := range entries {
		c.eventually(20*time.Second, e.name+" ready", func() bool {
			resp, err := client.Get("http://" + e.http + "/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
	c.eventually(20*time.Second, "same view with all members", func() bool {
		for _, e := range entries {
			s, err := c.status(e)
			if err != nil || len(s.Members) != c.runningEntries() || !sameView(s) {
				return false
			}
		}
		return true
	})
}

func sameView(s gateway.CellStatus) bool {
	shards := 0
	for _, m := range s.Members {
		if !m.Reachable || m.View != s.View {
			return false
		}
		shards += m.Shards
	}
	return shards == 256
}

// runningEntries returns the number of entry processes that have not exited.
func (c *cell) runningEntries() int {
	n := 0
	for _, e := range c.entries {
		select {
		case <-e.done:
		default:
			n++
		}
	}
	return n
}

// waitCapacity waits until every endpoint is schedulable.
func (c *cell) waitCapacity() {
	c.t.Helper()
	c.eventually(20*time.Second, "all endpoints schedulable", func() bool {
		s, err := c.status(c.entries[0])
		if err != nil {
			return false
		}
		n := 0
		for _, p := range s.Pools {
			n += p.Endpoints
		}
		return n == c.opts.runners+c.opts.workers
	})
	// Pool summaries reach every shard owner within a few gossip rounds.
	time.Sleep(time.Second)
}

func (c *cell) status(e *entryProcess) (gateway.CellStatus, error) {
	var s gateway.CellStatus
	return s, getJSON("http://"+e.http+"/v1/status", &s)
}

// applyTemplates stores the templates and waits until they are in force at every
// member.
func (c *cell) applyTemplates(source string) {
	c.t.Helper()
	req, _ := http.NewRequest(http.MethodPut, "http://"+c.entries[0].http+"/v1/config/workspaces/kalnins", bytes.NewBufferString(source))
	req.Header.Set("Content-Type", "application/toml")
	req.Header.Set("Agateyard-Author", "e2e")
	req.Header.Set("If-None-Match", "*")
	resp, err := client.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode >= 300 {
		c.t.Fatalf("apply: %s: %s", resp.Status, body)
	}
	var applied gateway.AppliedChange
	if err := json.Unmarshal(body, &applied); err != nil {
		c.t.Fatal(err)
	}
	c.eventually(7*time.Second, "configuration in force everywhere", func() bool {
		s, err := c.status(c.entries[0])
		if err != nil {
			return false
		}
		all, _ := s.InForce(applied.Document, applied.Revision)
		return all
	})
}

// setPlatformFaults replaces the faults of the platform stand-in.
func (c *cell) setPlatformFaults(f platformstandin.Faults) {
	c.t.Helper()
	body, _ := json.Marshal(f)
	req, _ := http.NewRequest(http.MethodPut, c.platform+"/admin/faults", bytes.NewReader(body))
	resp, err := client.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	resp.Body.Close()
}

func (c *cell) counters() platformstandin.Counters {
	c.t.Helper()
	var out platformstandin.Counters
	if err := getJSON(c.platform+"/admin/counters", &out); err != nil {
		c.t.Fatal(err)
	}
	return out
}

// effects returns the effect logs of all endpoints.
func (c *cell) effects() []standin.Effect {
	c.t.Helper()
	var all []standin.Effect
	for _, a := range c.admins {
		var log standin.EffectLog
		if err := getJSON("http://"+a+"/admin/effects", &log); err != nil {
			c.t.Fatal(err)
		}
		if log.Dropped > 0 {
			c.t.Fatalf("effect log dropped %d entries", log.Dropped)
		}
		all = append(all, log.Effects...)
	}
	return all
}

func getJSON(url string, into any) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// eventually polls until the condition holds, and fails the test after the limit.
func (c *cell) eventually(limit time.Duration, what string, cond func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timeout after %v: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// dumpLogs prints the tail of each process log.
func (c *cell) dumpLogs() {
	const tail = 4000
	files, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		if len(data) > tail {
			data = data[len(data)-tail:]
		}
		c.t.Logf("%s:\n%s", filepath.Base(f), data)
	}
}
