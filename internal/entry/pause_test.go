package entry

import (
	"net"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

// pauseEvent blocks the loop as a pause of the process would, while its lease expires.
type pauseEvent struct{ store *standin.Server }

func (e pauseEvent) apply(l *loop) {
	e.store.ExpireLease("cluster/members/" + l.n.self.Incarnation)
	time.Sleep(pauseLimit + 100*time.Millisecond)
}

// markEvent reports that an event was applied.
type markEvent struct{ applied chan<- bool }

func (e markEvent) apply(*loop) { e.applied <- true }

// Guards against a process that was paused beyond its lease and then answers callers, issues
// grants or starts work, although other processes own its shards and pools.
func TestPausedProcessActsOnlyOnceConfirmed(t *testing.T) {
	p, store, _ := runProcess(t)
	waitForShards(t, p)
	n, applied := p.Node(), make(chan bool, 1)
	n.post(pauseEvent{store: store})
	n.post(markEvent{applied: applied})
	waitFor(t, "next incarnation", func() bool { return p.Node() != n })
	if len(applied) > 0 {
		t.Error("an event was applied after the lease had expired")
	}
}

// Guards against the same while the store can't be reached: the peers know the view that has
// replaced this process.
func TestPausedProcessAsksPeersWithoutStore(t *testing.T) {
	n := ownerNode(t) // without a lease that could be confirmed
	peer, _ := testNode(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	p := &Process{listener: listener, conns: make(map[net.Conn]*Node)}
	p.node.Store(peer)
	go p.accept(peer)
	l := n.loop
	l.installView(model.View{Number: 2, Members: []model.Member{n.self, {Incarnation: "peer-2", RPCAddress: listener.Addr().String()}}})
	peer.view.Store(&model.View{Number: 3, Members: []model.Member{{Incarnation: "peer-2"}}, Predecessors: []string{n.self.Incarnation}})
	l.lastActive = time.Now().Add(-pauseLimit / 2)
	if !l.confirmAfterPause() || l.view.Number != 2 {
		t.Errorf("view %d without a pause", l.view.Number)
	}
	l.lastActive = time.Now().Add(-2 * pauseLimit)
	if !l.confirmAfterPause() || l.view.Number != 3 || l.takeover.serves(0) {
		t.Errorf("view %d after a pause, shards are still served", l.view.Number)
	}
}
