package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// FuzzCellValues guards against claims and members in the store that panic or enter the view although they are out of
// range.
func FuzzCellValues(f *testing.F) {
	for _, seed := range []string{
		``, `null`, `[]`, `{`, `{"Term":1,"Incarnation":"a","Address":"b"}`, `{"Term":-1,"Incarnation":"a"}`, `{"Term":9223372036854775807,"Incarnation":"a"}`,
		`{"Term":1e300}`, `{"Incarnation":"a","Address":"b","Weight":-5}`, `{"Incarnation":"a","Address":"b","Weight":1e300}`, strings.Repeat(`{"a":`, 20_000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
		n.resetCell([]Item{{Key: ownerKey, Value: value, Rev: 7}, {Key: memberPrefix + "a", Value: value, Rev: 8}})
		n.applyCellItem(Item{Key: memberPrefix, Value: value, Rev: 9})
		o, _ := n.view.currentOwner()
		if !n.view.ownerWasRead() || o.Rev != 7 || o.Term < 1 || o.Term >= maxTerm {
			t.Errorf("owner %+v", o)
		}
		for _, m := range n.view.memberList() {
			if m.Incarnation != "a" || !m.valid() {
				t.Errorf("member %+v", m)
			}
		}
		n.candidateDelay(o)
		n.voters(o)
	})
}

// FuzzUsedRunners guards against a list of used runners that panics, and against an owner that starts the jobs of its
// predecessors at once because it can't read which runners these used.
func FuzzUsedRunners(f *testing.F) {
	for _, seed := range []string{``, `null`, `{}`, `[]`, `{"r":"a:1","r":""}`, `{"r":1}`, `{"":""}`, strings.Repeat("[", 20_000)} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		store := newMemoryStore()
		n := newTestNode(store, "127.0.0.1:1", testWeight)
		store.items[runnersKey] = Item{Key: runnersKey, Value: value, Rev: 1}
		o := newTestOwnership(n.Node)
		if err := o.usedRunners.load(); err != nil {
			t.Fatal(err)
		}
		if len(o.usedRunners.recorded) > 0 && len(o.sched.RunnersToPoll()) == 0 {
			t.Error("no runner is inherited")
		}
	})
}

// newTestOwnership returns an ownership whose event loop doesn't run.
func newTestOwnership(n *Node) *ownership {
	n.begunTerm.Store(1)
	o := n.newOwnership(OwnerInfo{Term: 1, Rev: 1, Incarnation: n.incarnation, Address: n.opt.Address})
	return o
}

// FuzzPeerMessages guards against bytes from the connection of another process that panic in the decoder or a handler,
// beside the recovery that would catch them.
func FuzzPeerMessages(f *testing.F) {
	encode := func(method string, args any) []byte {
		var out bytes.Buffer
		enc := gob.NewEncoder(&out)
		for _, part := range []any{rpc.Request{ServiceMethod: "Peer." + method, Seq: 1}, args} {
			if err := enc.Encode(part); err != nil {
				f.Fatal(err)
			}
		}
		return out.Bytes()
	}
	f.Add(encode("Ping", PingArgs{From: "a", Owner: OwnerInfo{Term: 1 << 62, Incarnation: "x"}, Interval: 1 << 62, WantMembers: true}))
	f.Add(encode("OwnerLost", OwnerLostArgs{Term: -1}))
	f.Add(encode("Submit", SubmitArgs{Spec: job.Spec{ID: "x", Steps: []job.Step{{Count: -1}}}, Within: -1}))
	f.Add(encode("Cancel", JobArgs{ID: "x"}))
	f.Add(encode("State", JobArgs{}))
	f.Add(encode("Advise", AdviseArgs{Within: 1}))
	f.Add(encode("Relay", RelayArgs{Fence: -1, Within: -1, Poll: &PollRequest{Wait: 1 << 62}}))
	f.Add(encode("Relay", RelayArgs{Runner: scheduler.RunnerRef{ID: "r"}, Within: 1}))
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, message []byte) {
		n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
		log := &panicLog{}
		n.dep.Log = log
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go n.serveAdviceCalls(ctx)
		defer func() {
			if o := n.ownership.Load(); o != nil { // a message may ask the process to take over
				o.stepDown("the test ends")
				<-o.ended
			}
		}()
		server := rpc.NewServer()
		if err := server.RegisterName("Peer", &Peer{n.Node}); err != nil {
			t.Fatal(err)
		}
		server.ServeConn(&recordedConn{Reader: bytes.NewReader(message)})
		codec := newPeerCodec(n.Node, &recordedConn{Reader: bytes.NewReader(message)})
		if codec.ReadResponseHeader(&rpc.Response{}) == nil {
			_ = codec.ReadResponseBody(&PingReply{}) // an error is fine, a panic is not
		}
		if text := log.text(); text != "" {
			t.Error(text)
		}
	})
}

// recordedConn is a connection that delivers given bytes and discards what is written.
type recordedConn struct{ io.Reader }

func (*recordedConn) Write(p []byte) (int, error) { return len(p), nil }
func (*recordedConn) Close() error                { return nil }

// FuzzPingReply guards against a ping reply out of range that enters the view of a process.
func FuzzPingReply(f *testing.F) {
	f.Add(int64(1), int64(1), "a", "b", 1, []byte{1})
	f.Add(int64(1)<<62, int64(-1), "a", "", -1, []byte{})
	f.Add(int64(-1), int64(1)<<62, "", "x", 1<<62, []byte{0xff})
	f.Fuzz(func(t *testing.T, term, rev int64, incarnation, address string, weight int, config []byte) {
		n := newTestNode(newMemoryStore(), "127.0.0.1:1", testWeight)
		n.applyPingReply(PingReply{
			Owner: OwnerInfo{Term: term, Rev: rev, Incarnation: incarnation, Address: address}, Config: config,
			Members: []Member{{Incarnation: incarnation, Address: address, Weight: weight}},
		})
		if o, _ := n.view.currentOwner(); o != (OwnerInfo{}) && !o.valid() {
			t.Errorf("owner %+v", o)
		}
		for _, m := range n.view.memberList() {
			if !m.valid() {
				t.Errorf("member %+v", m)
			}
		}
		o := newTestOwnership(n.Node)
		o.recordPing(PingArgs{From: incarnation, Address: address, Owner: o.info, Interval: time.Duration(rev)}, time.Hour)
		if o.lastPings[incarnation].recent(2 * time.Hour) {
			t.Error("a process that was silent for an hour counts as recent")
		}
	})
}
