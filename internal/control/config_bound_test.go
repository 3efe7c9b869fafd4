package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/scheduler"
	"github.com/agateyard/agateyard/internal/tenant"
)

// routesConfig is a configuration with routes that come and go.
type routesConfig struct {
	Version int64
	Routes  []string // prefixes; each has a queue of that name
	Keys    []string // of one tenant; none: the cell has no keys
}

type routesDirectory struct{ emptyDirectory }

func (routesDirectory) DecodeConfig(value []byte) (*CellConfig, error) {
	var r routesConfig
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, err
	}
	c := &CellConfig{Version: r.Version, Raw: value}
	for _, prefix := range r.Routes {
		c.Routes = append(c.Routes, Route{Host: "h", Prefix: prefix, Queue: scheduler.Queue{Name: prefix, Service: "s"}})
	}
	var entries []tenant.Entry
	if len(r.Keys) > 0 {
		e := tenant.Entry{Tenant: tenant.Tenant{Name: "ant", Weight: 1}}
		for _, key := range r.Keys {
			e.Keys = append(e.Keys, tenant.DigestOf(key))
		}
		entries = append(entries, e)
	}
	c.Tenants = tenant.NewDirectory(entries)
	return c, nil
}

// boundCell is a cell in a bubble whose processes have faulty links to the store.
type boundCell struct {
	t     *testing.T
	keys  bool
	apply time.Duration // time in which a change has to be in force
	store *memoryStore
	nodes []*testNode
	links []*faultyLink
}

func (c *boundCell) configure(r routesConfig) {
	c.t.Helper()
	if !c.keys {
		r.Keys = nil
	}
	value, err := json.Marshal(r)
	if err != nil {
		c.t.Fatal(err)
	}
	putValue(c.t, c.store, "op/config", string(value))
}

// start starts a process whose link has a fault from the beginning.
func (c *boundCell) start(f linkFault, seeds ...string) *testNode {
	deps := testDeps()
	deps.Directory = routesDirectory{}
	link := &faultyLink{}
	link.set(f)
	opt := Options{Weight: testWeight, KeysRequired: c.keys, ConfigApply: c.apply, Seeds: seeds}
	n := startNodeWithStore(c.t, deps, c.store, opt, func(s Store) Store { link.Store = s; return link })
	c.nodes, c.links = append(c.nodes, n), append(c.links, link)
	return n
}

func startBoundCell(t *testing.T, size int, keys bool, apply time.Duration) *boundCell {
	c := &boundCell{t: t, keys: keys, apply: apply, store: newMemoryStore()}
	c.configure(routesConfig{Version: 1, Routes: []string{"/kept/", "/dropped/"}, Keys: []string{"kept", "withdrawn"}})
	for range size {
		c.start("")
	}
	eventually(t, 20*time.Second, "one owner and all processes ready", func() bool {
		for _, n := range c.nodes {
			if !n.Ready() {
				return false
			}
		}
		return len(ownersOf(c.nodes)) == 1
	})
	return c
}

// isolate cuts a process off from the given address; the connections that it has break.
func (c *boundCell) isolate(n *testNode, address string) {
	networkOf(c.t).cutOff(n.opt.Address, address)
	n.peers.get(address).disconnect(nil)
}

// violation returns how a process decides by a configuration older than version 2, or that it turns a caller away although
// it reaches the store or a peer; empty if it does neither.
func (c *boundCell) violation(n *testNode) string {
	if n.Config() == nil {
		return "" // it answers 503
	}
	ask := func(path, key string) AuthResult {
		cr := Credentials{Host: "h", Path: path}
		if c.keys {
			cr.Key = tenant.DigestOf(key)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return n.Authenticate(ctx, cr, nil).Result
	}
	if got := ask("/kept/1", "kept"); !got.admits() {
		return fmt.Sprintf("a caller is turned away (%s)", got)
	}
	if got := ask("/dropped/1", "kept"); got.admits() {
		return fmt.Sprintf("a dropped route is served (%s)", got)
	}
	if got := ask("/added/1", "kept"); got == AuthNoRoute {
		return "a route that was added is not found"
	}
	if !c.keys {
		return ""
	}
	if got := ask("/kept/1", "withdrawn"); got.admits() {
		return fmt.Sprintf("a withdrawn key is served (%s)", got)
	}
	if got := ask("/kept/1", "added"); got == AuthUnknownKey {
		return "a key that was added is refused for certain"
	}
	return ""
}

// check changes the configuration and asks all processes from the time on at which the change has to be in force.
func (c *boundCell) check(name string) {
	c.t.Helper()
	c.configure(routesConfig{Version: 2, Routes: []string{"/kept/", "/added/"}, Keys: []string{"kept", "added"}})
	time.Sleep(c.apply)
	length, step := 5*time.Second, 200*time.Millisecond
	if len(c.nodes) > 100 {
		length, step = time.Second, 250*time.Millisecond // each step costs seconds
	}
	for started := time.Now(); time.Since(started) < length; time.Sleep(step) {
		for i, n := range c.nodes {
			if violation := c.violation(n); violation != "" {
				c.t.Errorf("%s, process %d, %s after the change: %s", name, i, time.Since(started)+c.apply, violation)
				return
			}
		}
	}
}

// blindCase is a way in which processes of a cell are blind.
type blindCase struct {
	fault linkFault
	who   string // "one" that isn't the owner, the "owner", "all but one", "all" or a process that "restarts"
	cut   bool   // the blind processes have lost the owner as well
}

func (b blindCase) String() string { return fmt.Sprintf("%s, %s, cut %t", b.fault, b.who, b.cut) }

// casesOf returns all ways in which processes can have the faults.
func casesOf(faults ...linkFault) []blindCase {
	var out []blindCase
	for _, fault := range faults {
		out = append(
			out, blindCase{fault, "one", false}, blindCase{fault, "one", true}, blindCase{fault, "owner", false}, blindCase{fault, "all but one", false},
			blindCase{fault, "restarts", false}, blindCase{fault, "restarts", true},
		)
		switch fault {
		case quietWatch, silentWatch, lateReads, lostHistory, silentIdle:
			out = append(out, blindCase{fault, "all", false}) // otherwise nobody reaches the store
		}
	}
	return out
}

// blind makes the processes of a case blind.
func (c *boundCell) blind(b blindCase) {
	owner := ownersOf(c.nodes)[0]
	if b.who == "restarts" { // beside one that has been blind for long
		n := c.start(b.fault, others(c.nodes, owner)[0].opt.Address)
		c.impair(n, b, owner)
		return
	}
	left := 1
	if b.who == "all" {
		left = 0
	}
	for i, n := range c.nodes {
		switch b.who {
		case "one":
			if n == owner {
				continue
			}
		case "owner":
			if n != owner {
				continue
			}
		default:
			if n != owner && left > 0 {
				left--
				continue
			}
		}
		c.links[i].set(b.fault)
		c.impair(n, b, owner)
		if b.who == "one" {
			return
		}
	}
}

// impair changes the connections of a blind process to its peers as its case says.
func (c *boundCell) impair(n *testNode, b blindCase, owner *testNode) {
	if b.fault == lateReads {
		networkOf(c.t).delay(n.opt.Address)
		n.peers.mu.Lock()
		clients := n.peers.clients
		n.peers.clients = nil
		n.peers.mu.Unlock()
		for _, p := range clients {
			p.disconnect(nil)
		}
	}
	if b.cut {
		c.isolate(n, owner.opt.Address)
	}
}

func testBlindProcesses(t *testing.T, cases []blindCase) {
	for i, apply := range []time.Duration{2 * time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		keys := i%2 == 1
		for _, b := range cases {
			t.Run(fmt.Sprintf("%s, keys %t, %s", apply, keys, b), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					c := startBoundCell(t, 5, keys, apply)
					c.blind(b)
					time.Sleep(500 * time.Millisecond)
					c.check(b.String())
				})
			})
		}
	}
}

// TestConfigurationIsInForceInTime guards against a process that decides by an old configuration later than a change has
// to be in force, although it reaches the store or a peer that does.
func TestConfigurationIsInForceInTime(t *testing.T) {
	testBlindProcesses(t, casesOf(
		quietWatch, silentWatch, silentReads, refusedReads, silentStoreLink, refusingStore, lostHistory,
	))
}

// TestSilentConnectionsToTheStore guards against a process that uses one silent connection after the other, each until the
// time limit of a call, while a new connection would work.
func TestSilentConnectionsToTheStore(t *testing.T) { testBlindProcesses(t, casesOf(silentIdle)) }

// TestLateAnswersOfTheStore guards against a process that is short of processor time and throws away every answer of the
// store and of its peers, as all come after the time limits of the calls.
func TestLateAnswersOfTheStore(t *testing.T) { testBlindProcesses(t, casesOf(lateReads)) }

// TestDroppedRouteBetweenTwoProcesses guards against a request that a process with an old configuration receives and the
// owner, which has a newer one, executes although it has dropped the route or sends it to another queue.
func TestDroppedRouteBetweenTwoProcesses(t *testing.T) {
	inBubble(t, testDroppedRouteBetweenTwoProcesses)
}

func testDroppedRouteBetweenTwoProcesses(t *testing.T) {
	for _, keys := range []bool{false, true} {
		c := startBoundCell(t, 3, keys, testConfigApply)
		cr := Credentials{Host: "h", Path: "/dropped/1"}
		if keys {
			cr.Key = tenant.DigestOf("kept")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		before := c.nodes[0].Authenticate(ctx, cr, nil)
		if !before.Admitted() {
			t.Fatal(before.Result)
		}
		spec := testSpec(1)
		if got := submitAs(c.nodes[0], before.Caller, spec); got != OutcomeStored {
			t.Fatal(got)
		}
		c.configure(routesConfig{Version: 2, Routes: []string{"/kept/"}, Keys: []string{"kept"}})
		eventually(t, time.Second, "the new version at the owner", func() bool { return ownersOf(c.nodes)[0].configVersion() == 2 })
		for i, n := range c.nodes {
			if got := submitAs(n, before.Caller, testSpec(2)); got != OutcomeKeyUnknown {
				t.Errorf("keys %t, process %d: submission to a dropped route: %s", keys, i, got)
			}
			if got := n.Cancel(ctx, before.Caller, spec.ID); got != OutcomeKeyUnknown {
				t.Errorf("keys %t, process %d: cancellation through a dropped route: %s", keys, i, got)
			}
			if _, _, err := n.State(ctx, before.Caller, spec.ID); !errors.Is(err, ErrKeyUnknown) {
				t.Errorf("keys %t, process %d: query through a dropped route: %v", keys, i, err)
			}
			if got := n.Authenticate(ctx, cr, &before).Result; got != AuthNoRoute {
				t.Errorf("keys %t, process %d: after the owner's refusal: %s", keys, i, got)
			}
		}
		old := before.Caller
		old.Host, old.Prefix = "", "" // from a process of an earlier build
		if got := submitAs(c.nodes[0], old, testSpec(3)); got != OutcomeStored {
			t.Errorf("keys %t: submission through a process of an earlier build: %s", keys, got)
		}
		cancel()
	}
}

// TestConfigurationOfLargeCells guards against a bound that holds in small cells only, and against reads of the configuration
// that grow with the number of processes: only the owner reads it while the store answers.
func TestConfigurationOfLargeCells(t *testing.T) {
	const readsPerSecond = 5 // of the owner, with some to spare
	for _, size := range []int{40, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				c := startBoundCell(t, size, false, testConfigApply)
				time.Sleep(2 * time.Second)
				before, started := c.store.readCount("op/config"), time.Now()
				time.Sleep(2 * time.Second)
				if rate := float64(c.store.readCount("op/config")-before) / time.Since(started).Seconds(); rate > readsPerSecond {
					t.Errorf("%.1f reads a second in %d processes", rate, size)
				}
				owner := ownersOf(c.nodes)[0]
				for i, n := range c.nodes {
					switch { // of each ten, one gets no changes, one gets none and has lost the owner, two have no store
					case n == owner:
					case i%10 == 0:
						c.links[i].set(quietWatch)
					case i%10 == 1:
						c.links[i].set(quietWatch)
						c.isolate(n, owner.opt.Address)
					case i%10 < 4:
						c.links[i].set(silentStoreLink)
					}
				}
				time.Sleep(500 * time.Millisecond)
				c.check(fmt.Sprint(size, " processes"))
			})
		})
	}
}
