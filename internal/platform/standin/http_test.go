package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"

	"github.com/agateyard/agateyard/internal/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve returns a stand-in over HTTP and a client of it.
func serve(t *testing.T, cfg Config, opts ...platform.Option) (*Server, *platform.HTTPClient, string) {
	t.Helper()
	s := New(cfg)
	h := httptest.NewServer(s.Handler())
	client := platform.NewHTTPClient(h.URL, opts...)
	t.Cleanup(func() {
		client.Close()
		s.Close()
		h.Close()
	})
	return s, client, h.URL
}

// swap is a compare-and-swap of a register as a client has seen it.
type swap struct {
	write bool
	from  uint64 // version that the write required
	value string
}

type swapResult struct {
	entry    platform.Entry // of a read; of a write the new version
	conflict bool
}

type register struct {
	version uint64
	value   string
}

// registerModel has versions that grow by any amount: the store counts all keys.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		reg, in, out := state.(register), input.(swap), output.(swapResult)
		switch {
		case !in.write:
			return out.entry.Version == reg.version && string(out.entry.Value) == reg.value, reg
		case out.conflict:
			return in.from != reg.version, reg
		default:
			next := register{version: out.entry.Version, value: in.value}
			return in.from == reg.version && next.version > reg.version, next
		}
	},
}

// Guards against a compare-and-swap that is not atomic as its callers see it, when
// replies and requests are lost and the outcome is settled by reading back.
func TestCompareAndSwapIsLinearizable(t *testing.T) {
	const seed, clients, rounds = 7, 6, 60
	t.Logf("seed %d", seed)
	s, client, _ := serve(t, Config{Seed: seed, WritesPerSecond: -1, ReadsPerSecond: -1}, platform.WithRates(1e6, 1e6))
	s.SetFaults(Faults{LostReplies: 0.2, LostRequests: 0.1})
	var mu sync.Mutex
	var history []porcupine.Operation
	settled := 0
	start := time.Now()
	var wg sync.WaitGroup
	for id := range clients {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(id)))
			for range rounds {
				for _, op := range readThenSwap(t, client, id, rng, start) {
					mu.Lock()
					history = append(history, op)
					if op.Input.(swap).write && !op.Output.(swapResult).conflict {
						settled++
					}
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	if settled < clients {
		t.Fatalf("only %d writes took effect", settled)
	}
	t.Logf("%d operations, %d writes took effect", len(history), settled)
	addVersions(history, s.history)
	if got := porcupine.CheckOperationsTimeout(registerModel, history, time.Minute); got != porcupine.Ok {
		t.Errorf("history of %d operations: %v", len(history), got)
	}
}

// readThenSwap reads the register and replaces the value that it has read.
func readThenSwap(t *testing.T, client *platform.HTTPClient, id int, rng *rand.Rand, start time.Time) []porcupine.Operation {
	ctx := context.Background()
	called := time.Since(start).Nanoseconds()
	e, err := client.Get(ctx, "register")
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("read: %v", err)
	}
	read := porcupine.Operation{
		ClientId: id, Input: swap{}, Call: called,
		Output: swapResult{entry: e}, Return: time.Since(start).Nanoseconds(),
	}
	change := strconv.FormatUint(rng.Uint64(), 36)
	called = time.Since(start).Nanoseconds()
	// The value keeps all changes, so that a write that was replaced is still known to
	// have taken effect, however many others came before it was read back.
	value := append([]byte(change+" "), e.Value...)
	version, err := platform.PutWithReadBack(ctx, client, "register", value,
		platform.PutOptions{IfVersion: e.Version}, change, changesIn)
	out := swapResult{conflict: errors.Is(err, platform.ErrConflict), entry: platform.Entry{Version: version}}
	if err != nil && !out.conflict {
		t.Errorf("write: %v", err)
	}
	write := porcupine.Operation{
		ClientId: id, Input: swap{write: true, from: e.Version, value: string(value)}, Call: called,
		Output: out, Return: time.Since(start).Nanoseconds(),
	}
	return []porcupine.Operation{read, write}
}

// addVersions fills in the versions of writes that were replaced before they were settled.
func addVersions(history []porcupine.Operation, entries []platform.Entry) {
	versions := map[string]uint64{}
	for _, e := range entries {
		versions[string(e.Value)] = e.Version
	}
	for i, op := range history {
		in, out := op.Input.(swap), op.Output.(swapResult)
		if in.write && !out.conflict && out.entry.Version == 0 {
			out.entry.Version = versions[in.value]
			history[i].Output = out
		}
	}
}

func changesIn(value []byte) []string {
	var out []string
	for _, f := range bytes.Fields(value) {
		out = append(out, string(f))
	}
	return out
}

// Guards against a VM list that shows changes before its lag, or never.
func TestVMListLags(t *testing.T) {
	const lag = 150 * time.Millisecond
	_, client, url := serve(t, Config{VMLag: lag})
	admin := NewAdmin(url)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	vm := platform.VM{ID: "vm-1", Address: "127.0.0.1:1", Kind: platform.VMWorker, Zone: "a", Rack: "r1"}
	check := func(want string) {
		t.Helper()
		vms, err := client.VMs(t.Context())
		if got := fmt.Sprint(vms); err != nil || got != want {
			t.Errorf("list %s, error %v; want %s", got, err, want)
		}
	}
	must(admin.RegisterVM(t.Context(), vm))
	check("[]")
	time.Sleep(lag)
	check("[{vm-1 127.0.0.1:1 worker a r1  live}]")
	vm.State = platform.VMLeaving
	must(admin.RegisterVM(t.Context(), vm))
	check("[{vm-1 127.0.0.1:1 worker a r1  live}]")
	time.Sleep(lag)
	check("[{vm-1 127.0.0.1:1 worker a r1  leaving}]")
	must(admin.RemoveVM(t.Context(), vm.ID))
	must(admin.SetVMLag(t.Context(), 0))
	check("[]")
	must(admin.SetFaults(t.Context(), Faults{Outage: true}))
	if c, err := admin.Counters(t.Context()); err != nil || c.Calls[platform.CallVMs] != 5 {
		t.Errorf("counters %+v, error %v", c, err)
	}
	if _, err := client.VMs(t.Context()); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("list in an outage: %v", err)
	}
}

// Guards against a shutdown that waits for the long polls of clients.
func TestServeStopsWithPendingWatches(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	served := make(chan error, 1)
	go func() { served <- Serve(ctx, address, Config{}) }()
	client := platform.NewHTTPClient("http://" + address)
	defer client.Close()
	for {
		if _, err = client.VMs(ctx); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	watched := make(chan error, 1)
	go func() {
		_, err := client.Watch(context.Background(), "", 0, time.Minute)
		watched <- err
	}()
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	cancel()
	if err = <-served; err != nil {
		t.Error(err)
	}
	if err = <-watched; !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("watch: %v", err)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("shutdown took %v", took)
	}
}
