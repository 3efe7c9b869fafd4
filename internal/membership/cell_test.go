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

// reporter is what tests and rapid share.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// node is one process of the cell.
type node struct {
	m      *Manager
	name   string
	cancel context.CancelFunc
	ended  chan error

	mu       sync.Mutex
	updates  []Update
	result   error
	running  bool
	stopped  bool // crashed, lapsed or left, as the test wanted
	released bool
	dead     bool // its journal needs adoption if a view had it
}

// cell is a set of nodes on one stand-in store.
type cell struct {
	server *standin.Server
	nodes  []*node
	seen   map[string]bool // incarnations that some view had as members
}

func newCell() *cell {
	return &cell{server: standin.New(standin.Config{}), seen: map[string]bool{}}
}

func (c *cell) close() {
	for _, n := range c.nodes {
		n.cancel()
		<-n.ended
	}
	c.server.Close()
}

func (c *cell) start(store platform.Store) *node {
	n := &node{name: fmt.Sprintf("node-%02d", len(c.nodes)), ended: make(chan error), running: true}
	n.m = New(Config{Self: model.Member{Incarnation: n.name, Zone: "a"}, Store: store})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.collect(ctx)
	go func() {
		err := n.m.Run(ctx)
		n.mu.Lock()
		n.result, n.running = err, false
		n.mu.Unlock()
		close(n.ended)
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
	return n.running && !n.stopped
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

func (n *node) stop(dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	n.dead = n.dead || dead
}

// crash ends a node without notice.
func (c *cell) crash(n *node) {
	n.stop(true)
	n.cancel()
}

// lapse ends the lease of a node as if it had been paused. A node that is still
// registering is left out: it takes another lease and goes on.
func (c *cell) lapse(n *node) {
	n.m.mu.Lock()
	registered := n.m.lease != ""
	n.m.mu.Unlock()
	if registered && c.server.ExpireLease(memberPrefix+n.name) {
		n.stop(true)
	}
}

// leave runs the orderly leave, with or without its end.
func (n *node) leave(release bool) {
	n.stop(false)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if n.m.Leave(ctx) != nil {
			n.stop(true) // the process exits without having left
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

// settle lets the cell come to rest without faults and checks what it has agreed on.
func (c *cell) settle(t reporter) {
	t.Helper()
	c.server.SetFaults(standin.Faults{})
	time.Sleep(20 * time.Second)
	synctest.Wait()
	c.checkUpdates(t)
	want := map[string]bool{}
	for _, n := range c.nodes {
		n.mu.Lock()
		running, result, stopped := n.running, n.result, n.stopped
		n.mu.Unlock()
		if !stopped {
			want[n.name] = true
		}
		if !running && !stopped {
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
		c.checkFormer(t, u.View)
	}
}

// checkFormer checks those that are no longer members.
func (c *cell) checkFormer(t reporter, v model.View) {
	t.Helper()
	for _, n := range c.nodes {
		n.mu.Lock()
		released, dead := n.released, n.dead
		n.mu.Unlock()
		listed := slices.Contains(v.Predecessors, n.name)
		switch {
		case released && (listed || slices.Contains(v.Leaving, n.name)):
			t.Fatalf("%s has left in order and is still in %+v", n.name, v)
		case !released && dead && c.seen[n.name] && !listed:
			t.Fatalf("%s is dead and no predecessor in %+v", n.name, v)
		}
	}
}

// checkUpdates checks that numbers never go back and that a number names one view.
func (c *cell) checkUpdates(t reporter) {
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
				c.seen[m.Incarnation] = true
			}
		}
	}
}

// wantResult waits for the end of a node.
func (n *node) wantResult(t reporter, want error) {
	t.Helper()
	time.Sleep(5 * time.Second)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.running || !errors.Is(n.result, want) {
		t.Fatalf("%s: running %v, result %v; want %v", n.name, n.running, n.result, want)
	}
}
