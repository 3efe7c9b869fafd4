package membership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

// testReporter has the methods of testing.T and rapid.T that the checks need.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// node is one process of the cell.
type node struct {
	m      *Manager
	name   string
	cancel context.CancelFunc
	done   chan error

	mu           sync.Mutex
	updates      []Update
	result       error
	isRunning    bool
	stopExpected bool // the test crashed the node, expired its lease or made it leave
	released     bool // Leave and Release have succeeded
	killed       bool // did not leave gracefully, so it must become a predecessor if a view had it
}

// cell is a set of nodes on one stand-in store.
type cell struct {
	server      *standin.Server
	nodes       []*node
	seenMembers map[string]bool // incarnations that some view had as members
}

func newCell() *cell {
	return &cell{server: standin.New(standin.Config{}), seenMembers: map[string]bool{}}
}

func (c *cell) close() {
	for _, n := range c.nodes {
		n.cancel()
		<-n.done
	}
	c.server.Close()
}

func (c *cell) start(store platform.Store) *node {
	n := &node{name: fmt.Sprintf("node-%02d", len(c.nodes)), done: make(chan error), isRunning: true}
	n.m = New(Config{Self: model.Member{Incarnation: n.name, Zone: "a"}, Store: store})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.collect(ctx)
	go func() {
		err := n.m.Run(ctx)
		n.mu.Lock()
		n.result, n.isRunning = err, false
		n.mu.Unlock()
		close(n.done)
	}()
	c.nodes = append(c.nodes, n)
	return n
}

func (n *node) collect(ctx context.Context) {
	for {
		select {
		case u := <-n.m.Updates():
			n.mu.Lock()
			n.updates = append(n.updates, u)
			n.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (n *node) last() Update {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.updates) == 0 {
		return Update{}
	}
	return n.updates[len(n.updates)-1]
}

func (n *node) alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isRunning && !n.stopExpected
}

func (c *cell) alive() []*node {
	var out []*node
	for _, n := range c.nodes {
		if n.alive() {
			out = append(out, n)
		}
	}
	return out
}

func (n *node) expectStop(killed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopExpected = true
	n.killed = n.killed || killed
}

// crash ends Run of the node without leaving the cell.
func (c *cell) crash(n *node) {
	n.expectStop(true)
	n.cancel()
}

// expireLease ends the lease of a node as if the node had been paused. A node that is
// still registering is skipped, since it would obtain another lease and continue.
func (c *cell) expireLease(n *node) {
	n.m.mu.Lock()
	registered := n.m.lease != ""
	n.m.mu.Unlock()
	if registered && c.server.ExpireLease(memberPrefix+n.name) {
		n.expectStop(true)
	}
}

// leave makes the node leave gracefully, with or without the final Release.
func (n *node) leave(release bool) {
	n.expectStop(false)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if n.m.Leave(ctx) != nil {
			n.expectStop(true) // the process exits without having left
			n.cancel()
			return
		}
		if !release {
			return
		}
		if n.m.Release(ctx) != nil {
			n.cancel()
			return
		}
		n.mu.Lock()
		n.released = true
		n.mu.Unlock()
	}()
}

// waitAndCheck clears the faults, gives the cell 20 s to become stable and checks that
// all running nodes have the expected view.
func (c *cell) waitAndCheck(t testReporter) {
	t.Helper()
	c.server.SetFaults(standin.Faults{})
	time.Sleep(20 * time.Second)
	synctest.Wait()
	c.checkUpdates(t)
	want := map[string]bool{}
	for _, n := range c.nodes {
		n.mu.Lock()
		running, result, stopExpected := n.isRunning, n.result, n.stopExpected
		n.mu.Unlock()
		if !stopExpected {
			want[n.name] = true
		}
		if !running && !stopExpected {
			t.Fatalf("%s ended with %v", n.name, result)
		}
	}
	for _, n := range c.alive() {
		u := n.last()
		got := map[string]bool{}
		for _, m := range u.View.Members {
			got[m.Incarnation] = true
		}
		if !maps.Equal(got, want) || !u.StoreReachable {
			t.Fatalf("%s has %+v, want members %v", n.name, u, want)
		}
		c.checkFormerMembers(t, u.View)
	}
}

// checkFormerMembers checks that released nodes are neither leaving nor predecessors,
// and that killed nodes that some view had as members are predecessors.
func (c *cell) checkFormerMembers(t testReporter, v model.View) {
	t.Helper()
	for _, n := range c.nodes {
		n.mu.Lock()
		released, killed := n.released, n.killed
		n.mu.Unlock()
		listed := slices.Contains(v.Predecessors, n.name)
		switch {
		case released && (listed || slices.Contains(v.Leaving, n.name)):
			t.Fatalf("%s has left gracefully but is still in %+v", n.name, v)
		case !released && killed && c.seenMembers[n.name] && !listed:
			t.Fatalf("%s is dead but not a predecessor in %+v", n.name, v)
		}
	}
}

// checkUpdates checks that view numbers never decrease and that a number always stands
// for the same view.
func (c *cell) checkUpdates(t testReporter) {
	t.Helper()
	changes := map[uint64]string{0: ""}
	for _, n := range c.nodes {
		n.mu.Lock()
		updates := slices.Clone(n.updates)
		n.mu.Unlock()
		last := Update{StoreReachable: true}
		for _, u := range updates {
			v := u.View
			if v.Number < last.View.Number || (v.Number == last.View.Number && u.StoreReachable == last.StoreReachable) {
				t.Fatalf("%s: update %+v follows %+v", n.name, u, last)
			}
			if change, known := changes[v.Number]; known && change != v.Change {
				t.Fatalf("view %d is both %s and %s", v.Number, change, v.Change)
			}
			changes[v.Number] = v.Change
			last = u
			for _, m := range v.Members {
				c.seenMembers[m.Incarnation] = true
			}
		}
	}
}

// checkRunResult waits 5 s and checks that Run has returned the wanted error.
func (n *node) checkRunResult(t testReporter, want error) {
	t.Helper()
	time.Sleep(5 * time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRunning || !errors.Is(n.result, want) {
		t.Fatalf("%s: running %v, result %v; want %v", n.name, n.isRunning, n.result, want)
	}
}
