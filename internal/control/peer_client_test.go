package control

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
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

// silentConn delivers what is written to it until it is silenced.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestCallsAfterSilentPeerConnection guards against calls that are lost one after the other on a connection to a peer that has gone
// silent: only pings and relayed calls used to close it.
func TestCallsAfterSilentPeerConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit time.Duration // of the call that shows the silence
		late  time.Duration // until the peer replies
		again bool          // the connection has to be used again
	}{
		{name: "silent", limit: 500 * time.Millisecond},
		{name: "vote", limit: voteTimeout},
		{name: "slow peer that answers another call", limit: 500 * time.Millisecond, late: 200 * time.Millisecond, again: true},
		{name: "short limit", limit: 50 * time.Millisecond, late: 100 * time.Millisecond, again: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			server := rpc.NewServer()
			if err := server.RegisterName("Peer", &slowPeer{c.late}); err != nil {
				t.Fatal(err)
			}
			go server.Accept(l)
			var silent *atomic.Bool
			dials := 0
			peer := &peerClient{address: l.Addr().String(), dial: func(ctx context.Context) (net.Conn, error) {
				conn, err := DialFunc(dialTimeout)(ctx, "tcp", l.Addr().String())
				dials++
				silent = &atomic.Bool{}
				return silentConn{conn, silent}, err
			}}
			var reply StateReply
			if err := call(context.Background(), peer, "State", JobArgs{}, &reply); err != nil {
				t.Fatal(err)
			}
			send := func(limit time.Duration) error {
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				var reply StateReply
				return call(ctx, peer, "State", JobArgs{}, &reply)
			}
			if !c.again {
				silent.Store(true)
			}
			if c.limit > c.late && c.late > 0 {
				if err := send(c.limit); err != nil {
					t.Errorf("a slow call: %v", err)
				}
			} else if send(c.limit) == nil {
				t.Error("the call got a reply")
			}
			if err := send(time.Second); err != nil {
				t.Errorf("the next call: %v", err)
			}
			if c.again && dials != 1 || !c.again && dials != 2 {
				t.Errorf("%d connections", dials)
			}
		})
	}
}
