package control

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"
)

// slowPeer replies after a pause.
type slowPeer struct{ pause time.Duration }

func (s *slowPeer) State(_ JobArgs, reply *StateReply) error {
	time.Sleep(s.pause)
	*reply = StateReply{Owner: true, Known: true}
	return nil
}

// TestAbandonedCallDoesNotWriteReply guards against a data race: a late reply to a call that timed out is decoded into
// memory that the caller already reads.
func TestAbandonedCallDoesNotWriteReply(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const pause = 100 * time.Millisecond
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &slowPeer{pause}); err != nil {
		t.Fatal(err)
	}
	go server.Accept(l)
	peer := &peerClient{address: l.Addr().String()}
	ctx, cancel := context.WithTimeout(context.Background(), pause/2)
	defer cancel()
	var abandoned, next StateReply
	if err := call(ctx, peer, "State", JobArgs{}, &abandoned); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v, want context.DeadlineExceeded", err)
	}
	if err := call(context.Background(), peer, "State", JobArgs{}, &next); err != nil {
		t.Fatal(err)
	}
	if abandoned.Owner || !next.Owner {
		t.Errorf("replies: abandoned call %+v, next call %+v", abandoned, next)
	}
}
