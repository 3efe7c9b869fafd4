package control

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// requestEnd is how a request ends and after which time at most.
type requestEnd struct {
	outcome string
	within  time.Duration
}

const (
	callerTime = 3 * time.Second
	atOnce     = 20 * time.Millisecond
)

// endsOf sends a query, a submission and a cancellation. The first and the last are about the job known, the other about the
// job fresh.
func endsOf(n *Node, known, fresh int) (get, post, del requestEnd) {
	timed := func(request func(ctx context.Context) string) requestEnd {
		ctx, cancel := context.WithTimeout(context.Background(), callerTime)
		defer cancel()
		started := time.Now()
		outcome := request(ctx)
		return requestEnd{outcome, time.Since(started)}
	}
	get = timed(func(ctx context.Context) string {
		state, found, err := n.State(ctx, Caller{}, testSpec(known).ID)
		switch {
		case err != nil:
			return "error"
		case !found:
			return "gone"
		}
		return string(state)
	})
	post = timed(func(ctx context.Context) string { return n.Submit(ctx, Caller{}, testSpec(fresh)).Outcome.String() })
	del = timed(func(ctx context.Context) string { return n.Cancel(ctx, Caller{}, testSpec(known).ID).String() })
	return get, post, del
}

// TestRequestsEnd guards against requests that wait for an answer which can't come: each state of the cell has an outcome
// and a time in which callers get it. Queries waited for an owner that was loading until it had loaded.
func TestRequestsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		prepare        func(t *testing.T, store *memoryStore, running, stopped *testNode) *Node
		get, post, del requestEnd
	}{
		"no owner known": {
			func(_ *testing.T, _ *memoryStore, _, stopped *testNode) *Node { return stopped.Node },
			requestEnd{"queued", atOnce},
			requestEnd{"unknown", noOwnerTimeout + 2*ownerRetryPause},
			requestEnd{"unknown", noOwnerTimeout + 2*ownerRetryPause},
		},
		"owner loading": {
			func(_ *testing.T, _ *memoryStore, _, stopped *testNode) *Node {
				becomeLoadingOwner(stopped.Node)
				return stopped.Node
			},
			requestEnd{"queued", atOnce},
			requestEnd{"unknown", callerTime},
			requestEnd{"unknown", callerTime},
		},
		"another process loading": {
			func(t *testing.T, store *memoryStore, _, stopped *testNode) *Node {
				owner := stoppedNode(t, store)
				info := becomeLoadingOwner(owner.Node).info
				l := networkOf(t).listen()
				ctx, cancel := context.WithCancel(context.Background())
				t.Cleanup(cancel)
				go func() { _ = owner.servePeers(ctx, &killableListener{Listener: l, ctx: ctx}) }()
				info.Address = l.address
				stopped.view.setOwner(info, stopped.clock.Now())
				return stopped.Node
			},
			requestEnd{"queued", atOnce},
			requestEnd{"unknown", callerTime},
			requestEnd{"unknown", callerTime},
		},
		"owner loaded": {
			func(_ *testing.T, _ *memoryStore, running, _ *testNode) *Node { return running.Node },
			requestEnd{"queued", atOnce},
			requestEnd{"stored", atOnce},
			requestEnd{"stored", atOnce},
		},
		"event loop of the owner busy": {
			func(_ *testing.T, _ *memoryStore, _, stopped *testNode) *Node {
				becomeLoadingOwner(stopped.Node).progress.done.Store(true)
				return stopped.Node
			},
			requestEnd{"queued", pingTimeout + atOnce},
			requestEnd{"unknown", callerTime},
			requestEnd{"unknown", callerTime},
		},
		"owner silent": {
			func(t *testing.T, _ *memoryStore, _, stopped *testNode) *Node {
				knowSilentOwner(t, stopped)
				return stopped.Node
			},
			requestEnd{"queued", pingTimeout + atOnce},
			requestEnd{"unknown", callerTime},
			requestEnd{"unknown", callerTime},
		},
		"store away": {
			func(_ *testing.T, store *memoryStore, running, _ *testNode) *Node {
				store.setRefuse(true)
				time.Sleep(2 * time.Second)
				return running.Node
			},
			requestEnd{"queued", atOnce},
			requestEnd{"refused", atOnce},
			requestEnd{"unknown", callerTime},
		},
		"owner silent and store away": {
			func(t *testing.T, store *memoryStore, _, stopped *testNode) *Node {
				store.setRefuse(true)
				knowSilentOwner(t, stopped)
				return stopped.Node
			},
			requestEnd{"error", callerTime},
			requestEnd{"unknown", callerTime},
			requestEnd{"unknown", callerTime},
		},
		"records unreadable, owner loaded": {
			func(t *testing.T, store *memoryStore, running, _ *testNode) *Node {
				running.kill()
				makeUnreadable(t, store, 1, 2)
				n := startNode(t, store, testWeight)
				eventually(t, 5*time.Second, "an owner", func() bool { return submit(n, testSpec(3)) == OutcomeStored })
				return n.Node
			},
			requestEnd{"error", atOnce},
			requestEnd{"unreadable", atOnce},
			requestEnd{"unreadable", atOnce},
		},
		"records unreadable, no owner known": {
			func(t *testing.T, store *memoryStore, _, stopped *testNode) *Node {
				makeUnreadable(t, store, 1, 2)
				return stopped.Node
			},
			requestEnd{"error", atOnce},
			requestEnd{"unknown", noOwnerTimeout + 2*ownerRetryPause},
			requestEnd{"unknown", noOwnerTimeout + 2*ownerRetryPause},
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				store, nodes := startCell(t, 1)
				const known, fresh = 1, 2
				if got := submit(nodes[0], testSpec(known)); got != OutcomeStored {
					t.Fatal(got)
				}
				get, post, del := endsOf(c.prepare(t, store, nodes[0], stoppedNode(t, store)), known, fresh)
				for method, got := range map[string][2]requestEnd{"GET": {get, c.get}, "POST": {post, c.post}, "DELETE": {del, c.del}} {
					if got[0].outcome != got[1].outcome || got[0].within > got[1].within {
						t.Errorf("%s ended as %s after %s, want %s within %s", method, got[0].outcome, got[0].within, got[1].outcome, got[1].within)
					}
				}
			})
		})
	}
}

// makeUnreadable replaces the records of jobs by others that can't be decoded.
func makeUnreadable(t *testing.T, store *memoryStore, jobs ...int) {
	for _, i := range jobs {
		putValue(t, store, jobPrefix+testSpec(i).ID, `{"id":1}`)
	}
}

// becomeLoadingOwner makes a process the owner without running its event loop.
func becomeLoadingOwner(n *Node) *ownership {
	o := newTestOwnership(n)
	n.ownership.Store(o)
	context.AfterFunc(o.ctx, func() { close(o.ended) }) // the test ends it
	return o
}

// stoppedNode returns a process that knows what the test tells it.
func stoppedNode(t *testing.T, store *memoryStore) *testNode {
	n := newTestNode(store, "10.0.0.99:1", testWeight)
	networkOf(t).useBubble(n)
	return n
}

// knowSilentOwner makes a process know an owner that receives calls and answers none.
func knowSilentOwner(t *testing.T, n *testNode) {
	const address = "10.0.0.98:1"
	n.view.setOwner(OwnerInfo{Term: 99, Rev: 99, Incarnation: "silent", Address: address}, n.clock.Now())
	n.peers.get(address).dial = func(context.Context) (net.Conn, error) {
		client, server := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, server) }()
		t.Cleanup(func() { _ = client.Close() })
		return client, nil
	}
}

// TestAbandonedQueriesAreNotExecuted guards against queries that wait for the owner's event loop longer than their callers,
// fill its queue, and are executed after their callers have gone. Processes of earlier builds send no time limit.
func TestAbandonedQueriesAreNotExecuted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		n := stoppedNode(t, newMemoryStore())
		o := becomeLoadingOwner(n.Node)
		o.progress.done.Store(true)
		o.sched = nil // makes an executed query panic
		peer := &Peer{n.Node}
		started := time.Now()
		var wg sync.WaitGroup
		for i := range 2 * cap(o.events) {
			args := JobArgs{ID: testSpec(i).ID}
			wg.Go(func() {
				if err := peer.State(args, &StateReply{}); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if took := time.Since(started); took > pingTimeout {
			t.Errorf("queries waited for %s, their callers for %s", took, pingTimeout)
		}
		if waiting := len(o.events); waiting > cap(o.events)/4 {
			t.Errorf("%d abandoned queries are in the queue of the event loop, which has room for %d events", waiting, cap(o.events))
		}
		for len(o.events) > 0 {
			(<-o.events)()
		}
	})
}

// TestUnreadableRecordIsLoggedOnce guards against an unreadable record that nobody hears of, because no owner has loaded it,
// and against a line for each query.
func TestUnreadableRecordIsLoggedOnce(t *testing.T) { inBubble(t, testUnreadableRecordIsLoggedOnce) }

func testUnreadableRecordIsLoggedOnce(t *testing.T) {
	store := newMemoryStore()
	makeUnreadable(t, store, 1, 2)
	log := &recordingLog{}
	deps := testDeps()
	deps.Log = log
	n := newTestNodeWith(deps, store, "10.0.0.99:1", testWeight)
	networkOf(t).useBubble(n)
	endsOf(n.Node, 1, 2)
	for range 2 { // a process may become the owner more than once
		if err := newTestOwnership(n.Node).load(); err != nil {
			t.Fatal(err)
		}
	}
	endsOf(n.Node, 1, 2)
	lines := map[any]int{}
	for _, line := range log.lines {
		if line.event == "bad-record" {
			lines[line.fields["key"]]++
		}
	}
	if lines[jobPrefix+testSpec(1).ID] != 1 || lines[jobPrefix+testSpec(2).ID] != 1 || len(lines) != 2 {
		t.Errorf("lines about unreadable records: %v, want one for each of two", lines)
	}
}
