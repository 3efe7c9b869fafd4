package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/freeport"
	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

const (
	startTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// cell is a running cell of separate processes.
type cell struct {
	opts      Options
	dir       string
	platform  string // base URL
	processes []*process
	entries   []*entryProcess
	endpoints *process // stand-in process that hosts the workers or, without workers, the runners
	client    *http.Client
}

// entryProcess is one entry process and the proxy between it and the store.
type entryProcess struct {
	*process
	http  string // ip:port
	proxy *storeProxy
}

func startCell(ctx context.Context, o Options) (*cell, error) {
	dir := o.Logs
	var err error
	if dir == "" {
		dir, err = os.MkdirTemp("", "agateyard-bench-")
	}
	if err != nil {
		return nil, err
	}
	c := &cell{opts: o, dir: dir, client: &http.Client{Timeout: 10 * time.Second}}
	if err := c.start(ctx); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cell) start(ctx context.Context) error {
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	if err := c.startEndpoints(ctx); err != nil {
		return err
	}
	for i := range c.opts.Members {
		if err := c.startEntry(i); err != nil {
			return err
		}
	}
	return c.waitMembers(ctx)
}

// startProcess starts a process and adds it to the processes of the cell.
func (c *cell) startProcess(name, binary string, args ...string) (*process, error) {
	p, err := startProcess(c.dir, name, filepath.Join(c.opts.Bin, binary), args...)
	if err == nil {
		c.processes = append(c.processes, p)
	}
	return p, err
}

func (c *cell) startPlatform(ctx context.Context) error {
	address, err := freeport.Address()
	if err != nil {
		return err
	}
	c.platform = "http://" + address
	if _, err := c.startProcess("platform", "agateyard-standin", "platform", "--listen", address); err != nil {
		return err
	}
	return c.eventually(ctx, "reply from the platform", func() bool {
		_, err := c.counters()
		return err == nil
	})
}

func (c *cell) startEndpoints(ctx context.Context) error {
	o := c.opts
	zones := make([]string, o.Zones)
	for i := range zones {
		zones[i] = "--zone=" + zoneName(i)
	}
	kinds := []struct {
		name  string
		count int
		args  []string
	}{
		{"runner", o.Runners, []string{"--service", "orders"}},
		{"worker", o.Workers, []string{"--per-rack", fmt.Sprint(o.PerRack), "--accelerators", "2"}},
	}
	listed := 0
	for _, k := range kinds {
		if k.count == 0 {
			continue
		}
		args := append([]string{k.name, "--count", fmt.Sprint(k.count), "--platform", c.platform}, k.args...)
		p, err := c.startProcess(k.name, "agateyard-standin", append(args, zones...)...)
		if err != nil {
			return err
		}
		c.endpoints = p
		listed += k.count
	}
	return c.eventually(ctx, "endpoints in the VM list", func() bool {
		var vms []json.RawMessage
		return c.get(c.platform+"/v1/vms", &vms) == nil && len(vms) == listed
	})
}

func (c *cell) startEntry(i int) error {
	httpAddress, err := freeport.Address()
	if err != nil {
		return err
	}
	rpcAddress, err := freeport.Address()
	if err != nil {
		return err
	}
	proxy, err := newStoreProxy(c.platform)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("entry-%d", i)
	path := filepath.Join(c.dir, name+".toml")
	text := fmt.Sprintf("name = %q\nzone = %q\nhttp_address = %q\nrpc_address = %q\nplatform_url = %q\n\n[limits]\nqueue_entries = 200000\n\n[stop]\ndrain_delay = \"0s\"\ntimeout = \"5s\"\n",
		name, zoneName(i%c.opts.Zones), httpAddress, rpcAddress, proxy.url())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := c.startProcess(name, "agateyard-entry", "--config", path)
	if err != nil {
		return err
	}
	c.entries = append(c.entries, &entryProcess{process: p, http: httpAddress, proxy: proxy})
	return nil
}

// waitMembers waits until every entry process is ready and all have the same view.
func (c *cell) waitMembers(ctx context.Context) error {
	return c.eventually(ctx, "all members to be ready with the same view", func() bool {
		s, err := c.status()
		if err != nil || len(s.Members) != c.opts.Members {
			return false
		}
		for _, m := range s.Members {
			if !m.Ready || m.View != s.View {
				return false
			}
		}
		return true
	})
}

// stop stops the processes of the cell. It kills the entry processes, since their
// graceful shutdown is not measured.
func (c *cell) stop() {
	for _, e := range c.entries {
		_ = e.cmd.Process.Kill()
		e.proxy.close()
	}
	for i := len(c.processes) - 1; i >= 0; i-- {
		c.processes[i].stop()
	}
	if c.opts.Logs == "" {
		_ = os.RemoveAll(c.dir)
	}
}

func (c *cell) status() (gateway.CellStatus, error) {
	var s gateway.CellStatus
	return s, c.get("http://"+c.entries[0].http+"/v1/status", &s)
}

func (c *cell) counters() (standin.Counters, error) {
	var k standin.Counters
	return k, c.get(c.platform+"/admin/counters", &k)
}

func (c *cell) get(url string, into any) error {
	resp, err := c.client.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func (c *cell) eventually(ctx context.Context, what string, done func() bool) error {
	deadline := time.Now().Add(startTimeout)
	for !done() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timeout waiting for %s after %v", what, startTimeout)
		}
		if !ctxtime.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func (c *cell) addresses() []string {
	var out []string
	for _, e := range c.entries {
		out = append(out, e.http)
	}
	return out
}

func zoneName(i int) string { return "zone-" + strings.ToLower(string(rune('a'+i))) }
