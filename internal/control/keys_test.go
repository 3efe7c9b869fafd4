package control

import (
	"context"
	"encoding/json"
	"sync"
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
		return len(owners) == 1 && owners[0].ownership.Load().pendingJobs() != nil
	})
	check("after a change of owner", job.Canceled)
}

// ownersAndOthers returns the owner and one other process.
func ownersAndOthers(nodes []*testNode) []*testNode {
	owner := ownersOf(nodes)[0]
	return []*testNode{owner, others(nodes, owner)[0]}
}

// TestNewKeyWithOneRead guards against a key that is refused because it is newer than the configuration in force, and
// against a read of the store for each request with an unknown key.
func TestNewKeyWithOneRead(t *testing.T) {
	c := startKeyCell(t, 1, Options{})
	n := c.nodes[0]
	c.store.mu.Lock() // the watch reports nothing until the lock is released
	before := c.store.reads["op/config"]
	var wg sync.WaitGroup
	results := make([]AuthResult, 30)
	for i := range results {
		wg.Go(func() { results[i] = authenticate(n, "ant-3").Result })
	}
	time.Sleep(100 * time.Millisecond)
	c.store.mu.Unlock()
	c.configure(keyConfig{Version: 2, Tenants: map[string][]string{"ant": {"ant-3"}}})
	wg.Wait()
	for i, got := range results {
		if got != AuthKnownKey && got != AuthUnknownKey {
			t.Errorf("request %d: %s", i, got)
		}
	}
	if got := authenticate(n, "ant-3").Result; got != AuthKnownKey {
		t.Errorf("after the configuration was written: %s", got)
	}
	if reads := c.store.readCount("op/config") - before; reads > 4 {
		t.Errorf("%d reads for %d requests", reads, len(results)+1)
	}
}
