package control

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestCallsToMembersAreBounded guards against a mesh (pattern: hundreds of VMs): each vote and each search for the owner
// called every member, and the connections stayed open, so that an ordinary VM of 297 held 500.
func TestCallsToMembersAreBounded(t *testing.T) {
	n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
	o := OwnerInfo{Term: 1, Rev: 1, Incarnation: "m0", Address: "127.0.0.1:2"}
	n.view.setOwner(o, n.clock.Now())
	for i := range 300 {
		weight := testWeight
		if i%10 == 0 {
			weight *= 2
		}
		n.view.setMember(Member{Incarnation: fmt.Sprint("m", i), Address: fmt.Sprintf("127.0.0.1:%d", i+2), Weight: weight})
	}
	voters := n.voters(o)
	if len(voters) != maxVoters {
		t.Errorf("%d voters, want %d", len(voters), maxVoters)
	}
	large := 0
	for _, m := range voters {
		if m.Incarnation == o.Incarnation {
			t.Error("the owner votes on itself")
		}
		if m.Weight > testWeight {
			large++
		}
	}
	if large != 29 {
		t.Errorf("%d of the 29 large machines vote", large)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.searchOwner(ctx)
	if got := len(n.peers.clients); got > maxSearchedMembers {
		t.Errorf("a search for the owner calls %d members, at most %d", got, maxSearchedMembers)
	}
}

// TestIdlePeerConnectionsAreClosed guards against connections that are kept after their last use, and against closing one
// that a call uses.
func TestIdlePeerConnectionsAreClosed(t *testing.T) {
	_, nodes := startCell(t, 2)
	peer := &peerClient{address: nodes[0].opt.Address}
	ask := func() error {
		return call(context.Background(), peer, "OwnerLost", OwnerLostArgs{Term: 1}, &OwnerLostReply{})
	}
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	connected := func() bool {
		peer.mu.Lock()
		defer peer.mu.Unlock()
		return peer.client != nil
	}
	peer.closeIdle(time.Now().Add(-time.Minute))
	if !connected() {
		t.Error("a connection that was just used is closed")
	}
	peer.begin()
	peer.closeIdle(time.Now().Add(time.Minute))
	if !connected() {
		t.Error("a connection with a call in flight is closed")
	}
	peer.end()
	peer.closeIdle(time.Now().Add(time.Minute))
	if connected() {
		t.Error("an idle connection is kept")
	}
	if err := ask(); err != nil {
		t.Errorf("call after the connection was closed: %v", err)
	}
}
