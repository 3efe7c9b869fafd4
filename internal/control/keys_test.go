package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
	"github.com/agateyard/agateyard/internal/tenant"
)

// keyConfig is the configuration of a cell with keys in these tests: one route for each queue.
type keyConfig struct {
	Version int64
	Tenants map[string][]string // keys by name
	Public  bool                // all routes need no key
}

// keyDirectory decodes keyConfig.
type keyDirectory struct{ emptyDirectory }

func (keyDirectory) DecodeConfig(value []byte) (*CellConfig, error) {
	var k keyConfig
	if err := json.Unmarshal(value, &k); err != nil {
		return nil, err
	}
	c := &CellConfig{Version: k.Version, Raw: value}
	for _, name := range []string{"q", "r"} {
		queue := scheduler.Queue{Name: name, Service: "s", Attempts: 3, Stretch: 2, Objective: time.Second}
		c.Routes = append(c.Routes, Route{Host: "h", Prefix: "/" + name + "/", Queue: queue, Public: k.Public})
	}
	var entries []tenant.Entry
	for name, keys := range k.Tenants {
		e := tenant.Entry{Tenant: tenant.Tenant{Name: name, Weight: 1}}
		for _, key := range keys {
			e.Keys = append(e.Keys, tenant.DigestOf(key))
		}
		entries = append(entries, e)
	}
	c.Tenants = tenant.NewDirectory(entries)
	return c, nil
}

// keyCell is a cell whose callers need keys.
type keyCell struct {
	t     *testing.T
	store *memoryStore
	nodes []*testNode
}

func startKeyCell(t *testing.T, size int, opt Options) *keyCell {
	t.Helper()
	c := &keyCell{t: t, store: newMemoryStore()}
	c.configure(keyConfig{Version: 1, Tenants: map[string][]string{"ant": {"ant-1", "ant-2"}, "bee": {"bee-1"}}})
	for range size {
		c.start(opt)
	}
	eventually(t, 5*time.Second, "one owner and all processes ready", func() bool {
		for _, n := range c.nodes {
			if !n.Ready() {
				return false
			}
		}
		return len(ownersOf(c.nodes)) == 1
	})
	return c
}

func (c *keyCell) start(opt Options) *testNode {
	c.t.Helper()
	deps := testDeps()
	deps.Directory = keyDirectory{}
	opt.Weight = testWeight
	n := startNodeOf(c.t, deps, c.store, opt)
	c.nodes = append(c.nodes, n)
	return n
}

func (c *keyCell) configure(k keyConfig) {
	c.t.Helper()
	value, err := json.Marshal(k)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.store.Commit(context.Background(), Commit{Puts: []Put{{Key: "op/config", Value: value}}}); err != nil {
		c.t.Fatal(err)
	}
}

func (c *keyCell) owner() *testNode { return ownersOf(c.nodes)[0] }

func (c *keyCell) notOwner() *testNode { return others(c.nodes, c.owner())[0] }

func authenticate(n *testNode, key string) Access {
	cr := Credentials{Host: "h", Path: "/q/"}
	if key != "" {
		cr.Key = tenant.DigestOf(key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return n.Authenticate(ctx, cr, nil)
}

func submitAs(n *testNode, caller Caller, spec job.Spec) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return n.Submit(ctx, caller, spec).Outcome
}

// TestKeysAreRequired guards against requests without a valid key that are served, and keys that admit as another tenant.
func TestKeysAreRequired(t *testing.T) {
	c := startKeyCell(t, 2, Options{})
	for _, n := range c.nodes {
		for key, want := range map[string]AuthResult{"ant-1": AuthKnownKey, "ant-2": AuthKnownKey, "": AuthNoKey, "none": AuthUnknownKey} {
			a := authenticate(n, key)
			if a.Result != want {
				t.Errorf("key %q: %s, want %s", key, a.Result, want)
			}
			if a.Admitted() != (want == AuthKnownKey) || a.Admitted() && a.Caller.Tenant != "ant" || !a.Admitted() && a.Caller != (Caller{}) {
				t.Errorf("key %q: admitted %t as %+v", key, a.Admitted(), a.Caller)
			}
		}
	}
	c.configure(keyConfig{Version: 2, Tenants: map[string][]string{"ant": {"ant-1"}}, Public: true})
	eventually(t, time.Second, "public routes", func() bool { return authenticate(c.nodes[0], "").Result == AuthPublic })
	c.configure(keyConfig{Version: 3})
	eventually(t, time.Second, "no keys required", func() bool { return authenticate(c.nodes[0], "").Result == AuthOpen })
	required := startKeyCell(t, 1, Options{KeysRequired: true})
	required.configure(keyConfig{Version: 2})
	eventually(t, time.Second, "the last tenant is removed", func() bool { return required.nodes[0].configVersion() == 2 })
	if got := authenticate(required.nodes[0], "").Result; got != AuthNoKey {
		t.Errorf("without a key where the settings require keys: %s", got)
	}
}

// TestOtherTenantsJob guards against access to a job with the key of another tenant, before and after the job has ended,
// at the owner and through another process, and after a change of owner.
func TestOtherTenantsJob(t *testing.T) {
	c := startKeyCell(t, 3, Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ant, bee := authenticate(c.nodes[0], "ant-1").Caller, authenticate(c.nodes[0], "bee-1").Caller
	sameTenant := authenticate(c.nodes[0], "ant-2").Caller
	spec := testSpec(1)
	spec.Tenant = "bee" // the key decides, not the body of the request
	if got := submitAs(c.notOwner(), ant, spec); got != OutcomeStored {
		t.Fatal(got)
	}
	check := func(when string, want job.State) {
		t.Helper()
		for _, n := range ownersAndOthers(c.nodes) {
			if got := submitAs(n, bee, spec); got != OutcomeNotYours {
				t.Errorf("%s: submission by another tenant: %s", when, got)
			}
			if got := n.Cancel(ctx, bee, spec.ID); got != OutcomeNotYours {
				t.Errorf("%s: cancellation by another tenant: %s", when, got)
			}
			if _, found, err := n.State(ctx, bee, spec.ID); found || err != nil {
				t.Errorf("%s: another tenant finds the job, error %v", when, err)
			}
			if _, found, err := n.State(ctx, Caller{Public: true, Queue: "r", ConfigVersion: 1}, spec.ID); found || err != nil {
				t.Errorf("%s: a caller of another public route finds the job, error %v", when, err)
			}
			if state, found, err := n.State(ctx, sameTenant, spec.ID); !found || err != nil || state != want {
				t.Errorf("%s: state %q, found %t, error %v for another key of the tenant, want %q", when, state, found, err, want)
			}
			if state, found, err := n.State(ctx, Caller{Public: true, Queue: "q", ConfigVersion: 1}, spec.ID); !found || err != nil || state != want {
				t.Errorf("%s: state %q, found %t, error %v on its route, which is public now, want %q", when, state, found, err, want)
			}
		}
	}
	check("queued", job.Queued)
	if got := c.nodes[0].Cancel(ctx, ant, spec.ID); got != OutcomeStored {
		t.Fatal(got)
	}
	check("cancelled", job.Canceled)
	old := c.owner()
	old.kill()
	c.nodes = others(c.nodes, old)
	eventually(t, 3*time.Second, "a new owner", func() bool {
		owners := ownersOf(c.nodes)
		return len(owners) == 1 && owners[0].ownership.Load().hasLoaded()
	})
	check("after a change of owner", job.Canceled)
}

// ownersAndOthers returns the owner and one other process.
func ownersAndOthers(nodes []*testNode) []*testNode {
	owner := ownersOf(nodes)[0]
	return []*testNode{owner, others(nodes, owner)[0]}
}

// idleNode returns a node with the given configuration that doesn't watch the store and has no peers.
func (c *keyCell) idleNode(opt Options, confirmedBefore time.Duration) *testNode {
	c.t.Helper()
	deps := testDeps()
	deps.Directory = keyDirectory{}
	opt.Address, opt.Weight = "127.0.0.1:1", testWeight
	n := newTestNodeOf(deps, c.store, opt)
	item, _, err := c.store.Get(context.Background(), "op/config")
	if err != nil {
		c.t.Fatal(err)
	}
	n.learnConfig(item.Value, fromRead)
	n.config.confirm(n.clock.Now() - confirmedBefore)
	return n
}

// newKeyStore returns a cell without processes.
func newKeyStore(t *testing.T) *keyCell {
	c := &keyCell{t: t, store: newMemoryStore()}
	c.configure(keyConfig{Version: 1, Tenants: map[string][]string{"ant": {"ant-1"}}})
	return c
}

// TestNewKeyWithOneRead guards against a key that is refused because it is newer than the configuration in force, and
// against a read of the store for each request with an unknown key.
func TestNewKeyWithOneRead(t *testing.T) { inBubble(t, testNewKeyWithOneRead) }

func testNewKeyWithOneRead(t *testing.T) {
	c := newKeyStore(t)
	n := c.idleNode(Options{}, 0)
	c.configure(keyConfig{Version: 2, Tenants: map[string][]string{"ant": {"ant-1", "ant-2"}}})
	before := c.store.readCount("op/config")
	results := make([]AuthResult, 100)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = authenticate(n, "ant-2").Result })
	}
	wg.Wait()
	for i, got := range results {
		if got != AuthKnownKey {
			t.Errorf("request %d: %s", i, got)
		}
	}
	if reads := c.store.readCount("op/config") - before; reads > 2 { // one may have begun between two requests
		t.Errorf("%d reads for %d requests", reads, len(results))
	}
	started := time.Now()
	before = c.store.readCount("op/config")
	for time.Since(started) < time.Second {
		if got := authenticate(n, "none").Result; got != AuthUnknownKey {
			t.Fatal(got)
		}
	}
	if reads := c.store.readCount("op/config") - before; reads > 6 {
		t.Errorf("%d reads in a second", reads)
	}
}

// TestSuspendedProcessChecksKeys guards against a key that was withdrawn while the process was suspended and is served by
// the first requests after it has resumed.
func TestSuspendedProcessChecksKeys(t *testing.T) {
	c := newKeyStore(t)
	n := c.idleNode(Options{}, 4*time.Second)
	c.configure(keyConfig{Version: 2, Tenants: map[string][]string{"ant": {"ant-2"}}})
	if got := authenticate(n, "ant-1").Result; got != AuthUnknownKey {
		t.Errorf("a key that was withdrawn meanwhile: %s", got)
	}
	if got := authenticate(n, "ant-2").Result; got != AuthKnownKey {
		t.Errorf("the new key: %s", got)
	}
}

// TestIsolatedProcess guards against a process without the store and peers that lets callers wait for an owner which it
// doesn't reach, that serves known keys by a configuration which may be out of force, or that refuses unknown keys for certain.
func TestIsolatedProcess(t *testing.T) { inBubble(t, testIsolatedProcess) }

func testIsolatedProcess(t *testing.T) {
	c := newKeyStore(t)
	for name, tc := range map[string]struct {
		opt            Options
		age            time.Duration
		known, unknown AuthResult
	}{
		"not yet":            {Options{}, 2 * time.Second, AuthKnownKey, AuthUndetermined},
		"for longer":         {Options{}, 20 * time.Second, AuthUndetermined, AuthUndetermined},
		"strict, not yet":    {Options{StrictRevoke: true, RevokeLimit: 5 * time.Second}, time.Second, AuthKnownKey, AuthUndetermined},
		"strict, for longer": {Options{StrictRevoke: true, RevokeLimit: 5 * time.Second}, 5100 * time.Millisecond, AuthUnconfirmed, AuthUnconfirmed},
	} {
		n := c.idleNode(tc.opt, tc.age)
		n.store.setPartitioned(true)
		if got := authenticate(n, "ant-1").Result; got != tc.known {
			t.Errorf("%s: known key: %s, want %s", name, got, tc.known)
		}
		started := time.Now()
		if got := authenticate(n, "ant-1").Result; got != tc.known || time.Since(started) > 50*time.Millisecond {
			t.Errorf("%s: known key again: %s after %s, want %s at once", name, got, time.Since(started), tc.known)
		}
		if got := authenticate(n, "none").Result; got != tc.unknown {
			t.Errorf("%s: unknown key: %s, want %s", name, got, tc.unknown)
		}
	}
	n := c.idleNode(Options{}, 20*time.Second)
	n.store.setPartitioned(true)
	n.view.recordOwnerReply(n.clock.Now()) // the store is away, and the owner answers
	if got := authenticate(n, "ant-1").Result; got != AuthKnownKey {
		t.Errorf("known key while the owner answers: %s", got)
	}
}

// TestWithdrawnKeyWithoutStore guards against a withdrawn key that is still served, and a new one that isn't, by a process
// that the store doesn't answer but peers reach, whether or not the owner is one of them.
func TestWithdrawnKeyWithoutStore(t *testing.T) { inBubble(t, testWithdrawnKeyWithoutStore) }

func testWithdrawnKeyWithoutStore(t *testing.T) {
	c := startKeyCell(t, 4, Options{})
	n := c.notOwner()
	n.store.setPartitioned(true)
	c.configure(keyConfig{Version: 2, Tenants: map[string][]string{"ant": {"ant-3"}}})
	if got := authenticate(n, "ant-3").Result; got != AuthKnownKey {
		t.Errorf("new key: %s", got)
	}
	if got := authenticate(n, "ant-1").Result; got != AuthUnknownKey {
		t.Errorf("withdrawn key: %s", got)
	}
	owner, _ := n.view.currentOwner()
	n.peers.get(owner.Address).dial = func(context.Context) (net.Conn, error) { return nil, syscall.ETIMEDOUT }
	n.peers.get(owner.Address).disconnect(nil)
	c.configure(keyConfig{Version: 3, Tenants: map[string][]string{"ant": {"ant-4"}}})
	eventually(t, 2500*time.Millisecond, "the withdrawn key is out of use without the owner", func() bool {
		return n.config.load().Version == 3 && authenticate(n, "ant-3").Result == AuthUnknownKey
	})
}

// TestWithdrawnKeyAfterRestart guards against a key that was withdrawn before a process was started without the store, and
// against a configuration from a peer that counts as newer than it is.
func TestWithdrawnKeyAfterRestart(t *testing.T) {
	c := startKeyCell(t, 2, Options{})
	c.configure(keyConfig{Version: 2, Tenants: map[string][]string{"ant": {"ant-2"}}})
	n := c.startWithoutStore(c.nodes[0].opt.Address, c.nodes[1].opt.Address)
	eventually(t, 3*time.Second, "ready by a peer's configuration", n.Ready)
	if got := authenticate(n, "ant-1").Result; got != AuthUnknownKey {
		t.Errorf("withdrawn key: %s", got)
	}
	if got := authenticate(n, "ant-2").Result; got != AuthKnownKey {
		t.Errorf("key in force: %s", got)
	}
	late := c.startWithoutStore()
	late.applyPingReply(PingReply{Config: c.nodes[0].Config().Raw, ConfigVersion: 2})
	if late.Config() != nil {
		t.Error("a configuration with keys was taken without its age")
	}
	late.applyPingReply(PingReply{
		Config: c.nodes[0].Config().Raw, ConfigVersion: 2, ConfigConfirmed: true, ConfigAge: time.Minute, sentAt: late.clock.Now(),
	})
	if age := late.configAgeSeconds(); age < 60 || age > 70 {
		t.Errorf("age %.1f s of a configuration that a peer confirmed a minute ago", age)
	}
}

// silentStore never answers.
type silentStore struct{ Store }

func (silentStore) Get(ctx context.Context, _ string) (Item, bool, error) {
	<-ctx.Done()
	return Item{}, false, ctx.Err()
}

func (silentStore) Range(ctx context.Context, _, _ string) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

// TestCallersDoNotWaitForSilentStore guards against callers with known keys who wait for a store that answers nothing, while
// the process has no peers to ask.
func TestCallersDoNotWaitForSilentStore(t *testing.T) {
	inBubble(t, testCallersDoNotWaitForSilentStore)
}

func testCallersDoNotWaitForSilentStore(t *testing.T) {
	c := newKeyStore(t)
	n := c.idleNode(Options{}, 0)
	n.dep.Store = silentStore{n.dep.Store}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.keepConfirmed(ctx)
	}()
	defer func() { cancel(); <-ended }()
	time.Sleep(2*n.limits.serve + time.Second)
	for started := time.Now(); time.Since(started) < recheckPause+500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		n.view.recordOwnerReply(n.clock.Now())
		asked := time.Now()
		if got := authenticate(n, "ant-1").Result; got != AuthKnownKey || time.Since(asked) > 100*time.Millisecond {
			t.Fatalf("%s after %s", got, time.Since(asked))
		}
	}
}

// startWithoutStore starts a process that never reaches the store.
func (c *keyCell) startWithoutStore(seeds ...string) *testNode {
	c.t.Helper()
	deps := testDeps()
	deps.Directory = keyDirectory{}
	l := httptest.NewUnstartedServer(nil).Listener
	n := newTestNodeOf(deps, c.store, Options{Address: l.Addr().String(), Weight: testWeight, Seeds: seeds})
	n.store.setPartitioned(true)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.ended)
		_ = n.Run(ctx, &killableListener{Listener: l, ctx: ctx})
	}()
	c.t.Cleanup(n.kill)
	return n
}

// TestOwnerChecksKeys guards against a request that a process with an old configuration passes to the owner and that is
// executed although its key has been withdrawn, or belongs to another tenant now.
func TestOwnerChecksKeys(t *testing.T) {
	c := startKeyCell(t, 2, Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	withdrawn, moved := authenticate(c.nodes[0], "ant-1"), authenticate(c.nodes[0], "ant-2")
	if got := submitAs(c.nodes[0], withdrawn.Caller, testSpec(1)); got != OutcomeStored {
		t.Fatal(got)
	}
	c.configure(keyConfig{Version: 2, Tenants: map[string][]string{"bee": {"bee-1", "ant-2"}}})
	eventually(t, time.Second, "the owner's configuration", func() bool { return c.owner().configVersion() == 2 })
	for _, n := range ownersAndOthers(c.nodes) {
		for _, a := range []Access{withdrawn, moved} {
			if got := submitAs(n, a.Caller, testSpec(2)); got != OutcomeKeyUnknown {
				t.Errorf("submission: %s", got)
			}
			if got := n.Cancel(ctx, a.Caller, testSpec(1).ID); got != OutcomeKeyUnknown {
				t.Errorf("cancellation: %s", got)
			}
			if _, _, err := n.State(ctx, a.Caller, testSpec(1).ID); !errors.Is(err, ErrKeyUnknown) {
				t.Errorf("query: error %v", err)
			}
		}
		cr := Credentials{Host: "h", Path: "/q/", Key: withdrawn.Caller.Key}
		if got := n.Authenticate(ctx, cr, &withdrawn).Result; got != AuthUnknownKey {
			t.Errorf("withdrawn key after the owner's refusal: %s", got)
		}
		cr.Key = moved.Caller.Key
		if got := n.Authenticate(ctx, cr, &moved); got.Result != AuthKnownKey || got.Caller.Tenant != "bee" {
			t.Errorf("moved key after the owner's refusal: %s as %q", got.Result, got.Caller.Tenant)
		}
	}
	if _, found, _ := c.nodes[0].storedState(ctx, JobArgs{ID: testSpec(2).ID}); found {
		t.Error("a refused job was stored")
	}
	if state, _ := stateOf(t, c.nodes[0], testSpec(3).ID); state != "" {
		t.Error("found a job that was never submitted")
	}
	old := Caller{} // of the previous build, which authenticates nobody
	if got := submitAs(c.nodes[0], old, testSpec(4)); got != OutcomeStored {
		t.Errorf("submission through a process of the previous build: %s", got)
	}
}

// TestRefusalsAfterALostCall guards against a certain refusal of a request whose first call may have been executed.
func TestRefusalsAfterALostCall(t *testing.T) {
	_, nodes := startCell(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for _, refusal := range []Outcome{OutcomeRefused, OutcomeOverLimit, OutcomeKeyUnknown, OutcomeNotYours} {
		for _, lost := range []bool{false, true} {
			want, first := refusal, lost
			if lost {
				want = OutcomeUnknown
			}
			got := nodes[0].callOwner(ctx, func(context.Context, OwnerInfo, time.Duration) (Outcome, error) {
				if first {
					first = false
					return OutcomeUnknown, io.ErrUnexpectedEOF
				}
				return refusal, nil
			})
			if got != want {
				t.Errorf("%s, after a lost call %t: %s, want %s", refusal, lost, got, want)
			}
		}
	}
}
