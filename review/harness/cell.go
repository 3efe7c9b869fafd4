//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/agateyard/agateyard/platform/standin"
)

const (
	holdMax   = 6 * time.Second // hold-max-ms of the settings
	heartbeat = 1500 * time.Millisecond
	queue     = "/jobs/"
	quotes    = "/quotes/"
	restock   = "/restock/"
	hostName  = "orders.example"
)

// cell is a small deployment: processes of the deploy file, the project's stand-in of the store, and runners.
type cell struct {
	dir       string // temporary, for settings and logs
	ip        string
	runnerCPU int
	store     *standin.Store
	storeDown atomic.Bool
	storeAddr string
	judge     *judge
	gangs     *gangs
	runners   []*runner
	nodes     []*node
	beats     sync.Map
	begun     time.Time
	out       *bufio.Writer
	outMu     sync.Mutex
	servers   []*http.Server
	client    *http.Client
}

type node struct {
	c                     *cell
	name                  string
	front, ready, control string
	settings              string
	cmd                   *exec.Cmd
	done                  chan struct{}
	log                   string
}

// record writes a line with the time since the start to record.txt.
func (c *cell) record(format string, args ...any) {
	c.outMu.Lock()
	defer c.outMu.Unlock()
	fmt.Fprintf(c.out, "%8.3f ", time.Since(c.begun).Seconds())
	fmt.Fprintf(c.out, format+"\n", args...)
}

// cannotRun ends the case without a verdict.
func (c *cell) cannotRun(format string, args ...any) {
	c.record("cannot run: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	c.stop()
	os.Exit(2)
}

// loopback returns a loopback address of this process's own, so that its free ports are not taken by another cell.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16%64, pid>>8%256, 1+pid%254)
}

func (c *cell) freeAddr() string {
	l, err := net.Listen("tcp", c.ip+":0")
	if err != nil {
		c.cannotRun("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (c *cell) serve(h http.Handler) string {
	l, err := net.Listen("tcp", c.ip+":0")
	if err != nil {
		c.cannotRun("no free port: %v", err)
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// newCell starts the stand-ins and the processes.
func newCell(nodes, runners, runnerCPU int, work func(task string) (time.Duration, string)) *cell {
	dir, err := os.MkdirTemp("", "agateyard-review-")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	file, err := os.Create("record.txt")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	c := &cell{
		dir: dir, ip: loopback(), runnerCPU: runnerCPU, store: standin.NewStore(), begun: time.Now(), out: bufio.NewWriter(file),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
	c.judge, c.gangs = newJudge(c), newGangs()
	c.storeAddr = c.serve(c.store)
	c.configure(1)
	for i := range runners {
		r := &runner{c: c, id: fmt.Sprintf("w%02d", i), rack: fmt.Sprintf("r%d", i/8), label: "a", work: work, addr: c.freeAddr()}
		if i == runners-1 {
			r.label, r.gpu = "b", 8 // the only one of its kind
		}
		c.runners = append(c.runners, r)
		r.start()
	}
	go c.keepEntries()
	for i := range nodes {
		c.nodes = append(c.nodes, &node{c: c, name: fmt.Sprintf("edge-%d", i), front: c.freeAddr(), ready: c.freeAddr(), control: c.freeAddr()})
	}
	for _, n := range c.nodes {
		n.write()
		n.start()
	}
	return c
}

// configure writes a configuration as the operator does.
func (c *cell) configure(version int) {
	c.store.Put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("order-confirm", queue, 0), route("wholesale-quote", quotes, 1), route("restock-check", restock, 2),
		},
		"services": []map[string]any{{"name": "fleece-orders", "enforces-capacity": false}},
		"limits":   map[string]int{"max-body-bytes": 262144},
	})
	c.record("config version %d", version)
}

func route(name, prefix string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "service": "fleece-orders", "priority": priority, "attempts": 3,
		"stretch": 2, "slo-ms": 500,
	}
}

// keepEntries writes the entries of the runners about every heartbeat, and removes those that have been silent for three of them.
// The store doesn't count the time while it was down.
func (c *cell) keepEntries() {
	tried := map[string]time.Time{}
	for range time.Tick(heartbeat / 10) {
		for _, r := range c.runners {
			if c.storeDown.Load() {
				c.beats.Store(r.id, time.Now())
				continue
			}
			if time.Since(tried[r.id]) >= heartbeat {
				tried[r.id] = time.Now()
				r.beat()
			}
			last, known := c.beats.Load(r.id)
			if known && time.Since(last.(time.Time)) > 3*heartbeat {
				c.beats.Delete(r.id)
				c.store.Delete("servers/" + r.id)
				c.record("entry of %s expires", r.id)
			}
		}
	}
}

// storeOutage makes the store refuse all calls with 503 for a while.
func (c *cell) storeOutage(d time.Duration) {
	c.record("store down for %s", d)
	c.storeDown.Store(true)
	c.store.SetFaults(standin.StoreFaults{Refuse: true})
	time.Sleep(d)
	c.store.SetFaults(standin.StoreFaults{})
	c.storeDown.Store(false)
	c.record("store back")
}

func (n *node) write() {
	c := n.c
	n.settings = filepath.Join(c.dir, n.name+".toml")
	seeds := ""
	for i, other := range c.nodes[:min(len(c.nodes), 3)] {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", other.control)
	}
	text := fmt.Sprintf(`node-name = %q
role = "entry"
class = "edge"
serves = ["edge","control"]
ip = %q
zone = "tn-north-a"
region = "tn-north"
seeds = [%s]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
[zones]
tn-north-a = "tn-north"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-ms = 3000
ack-ms = 4000
catchup-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-ms = 250
max-stretch-ms = 5000
recovery-s = 12
hold-max-ms = 6000
stop-timeout-ms = 400
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far-x = 3
checkpoint-interval-s = 0.5
restore-ms = 100
notice-ms = 4500
move-s = 1.5
maintenance-s = 2
require-fence = false
lease-ms = 3000
thaw-ms = 300
pace-ms = 100
harm-ms = 4000
[platform]
addr = %q
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`, n.name, c.ip, seeds, n.front, n.ready, n.control, c.storeAddr)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		c.cannotRun("settings: %v", err)
	}
}

// start runs the command of the deploy file.
func (n *node) start() {
	n.log = filepath.Join(n.c.dir, n.name+".log")
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.c.cannotRun("log: %v", err)
	}
	cmd := exec.Command(os.Getenv("AGATEYARD_SCHEDULER"), "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AGATEYARD_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		n.c.cannotRun("start of %s: %v", n.name, err)
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); log.Close(); close(done) }()
	n.cmd, n.done = cmd, done
	n.c.record("process %s starts", n.name)
}

func (n *node) kill() {
	n.c.record("process %s is killed", n.name)
	_ = n.cmd.Process.Kill()
	<-n.done
}

func (n *node) signal(s syscall.Signal) {
	n.c.record("process %s gets %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// stop ends all processes and stand-ins.
func (c *cell) stop() {
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.outMu.Lock()
	_ = c.out.Flush()
	c.outMu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
}

// finish ends the case with its verdict.
func (c *cell) finish(broken []string, rule string) {
	for _, line := range broken {
		c.record("BROKEN %s %s", rule, line)
	}
	c.record("verdict: %d breaks of %s", len(broken), rule)
	fmt.Printf("%s: %d breaks\n", rule, len(broken))
	for _, line := range broken[:min(len(broken), 5)] {
		fmt.Println(" ", line)
	}
	c.stop()
	if len(broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

// call sends one request of a client; status 0 means no answer.
func (c *cell) call(n *node, method, path string, body any) (int, map[string]any) {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		in = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+n.front+path, in)
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		c.record("%s %s at %s: no answer", method, path, n.name)
		return 0, nil
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	var out map[string]any
	_ = json.Unmarshal(data, &out)
	c.record("%s %s at %s: %d %s", method, path, n.name, response.StatusCode, bytes.TrimSpace(data))
	return response.StatusCode, out
}

// submit hands a job in, with up to four retries at other processes.
func (c *cell) submit(id string, steps []map[string]any) bool { return c.submitTo(queue, id, steps) }

func (c *cell) submitTo(prefix, id string, steps []map[string]any) bool {
	for try := range 5 {
		n := c.nodes[(int(id[15])+try)%len(c.nodes)]
		status, _ := c.call(n, http.MethodPost, prefix+id, map[string]any{"spec": "work", "steps": steps})
		if status/100 == 2 {
			return true
		}
		if status == http.StatusNotFound || status == http.StatusBadRequest {
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job until a process answers, for up to limit.
func (c *cell) state(id string, limit time.Duration) string { return c.stateOf(queue, id, limit) }

func (c *cell) stateOf(prefix, id string, limit time.Duration) string {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, n := range c.nodes {
			status, body := c.call(n, http.MethodGet, prefix+id, nil)
			if status == http.StatusOK {
				state, _ := body["state"].(string)
				return state
			}
			if status == http.StatusGone {
				return "gone"
			}
		}
	}
	return ""
}

// waitReady waits until all processes report themselves ready.
func (c *cell) waitReady() {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range c.nodes {
			if response, err := c.client.Get("http://" + n.ready + "/readyz"); err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.nodes) {
			c.record("all processes are ready")
			return
		}
	}
	c.cannotRun("the processes didn't become ready")
}

// owner returns the process that sends the orders, by the claim in the store.
func (c *cell) owner() *node {
	var claim struct {
		Address string `json:"address"`
	}
	_ = json.Unmarshal(c.store.Get("cell/owner"), &claim)
	for _, n := range c.nodes {
		if n.control == claim.Address {
			return n
		}
	}
	return nil
}
