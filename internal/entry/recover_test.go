package entry

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"syscall"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/journal"
)

// Guards against a call of another process that ends this one because its handler
// panics, and against a handler that lacks the recovery.
func TestEveryCallRecovers(t *testing.T) {
	for _, service := range []any{&ShardService{}, &PoolService{}, &PeerService{}, &OperatorService{}} {
		value := reflect.ValueOf(service) // each handler fails on the missing node
		for i := range value.NumMethod() {
			method := value.Method(i)
			name := value.Type().String() + "." + value.Type().Method(i).Name
			args := []reflect.Value{reflect.New(method.Type().In(0)).Elem(), reflect.New(method.Type().In(1).Elem())}
			func() {
				defer func() {
					if value := recover(); value != nil {
						t.Errorf("%s panics: %v", name, value)
					}
				}()
				if out := method.Call(args); out[0].IsNil() {
					t.Errorf("%s: no error", name)
				}
			}()
		}
	}
}

// panicEvent makes the event loop panic.
type panicEvent struct{}

func (panicEvent) apply(*loop) { panic("malformed event") }

// Guards against a panic that ends the whole process: in the event loop, in a goroutine of
// the incarnation, and in a call to an endpoint.
func TestPanicEndsOnlyTheIncarnation(t *testing.T) {
	for name, fail := range map[string]func(*Node){
		"event loop": func(n *Node) { n.post(panicEvent{}) },
		"goroutine":  func(n *Node) { n.start("test", func() { panic("malformed reply") }) },
	} {
		t.Run(name, func(t *testing.T) {
			p, _, ended := runProcess(t)
			waitFor(t, "member", func() bool { return member(p) })
			first := p.Node()
			fail(first)
			waitFor(t, "next incarnation", func() bool { return len(ended) > 0 || p.Node() != first && member(p) })
		})
	}
}

// panickingClient panics in every call, as a decoder does on a malformed answer.
type panickingClient struct{ unreachableClient }

func (panickingClient) Start(context.Context, endpoint.StartRequest) (endpoint.StartReply, error) {
	panic("malformed answer")
}

// Guards against a malformed answer of one endpoint that ends the process or its
// incarnation, and against a start that then counts as not sent.
func TestPanicInEndpointCallHasUnknownOutcome(t *testing.T) {
	n, _ := testNode(t)
	_, err := protectedClient{Client: panickingClient{}, n: n}.Start(t.Context(), endpoint.StartRequest{})
	if !errors.Is(err, endpoint.ErrOutcomeUnknown) || n.ctx.Err() != nil {
		t.Errorf("got %v, incarnation %v", err, n.ctx.Err())
	}
}

// Guards against a dispatch that is repeated elsewhere because the pool owner's handler
// panicked, possibly after it had started the work.
func TestPanicInDispatchHasUnknownOutcome(t *testing.T) {
	for err, want := range map[error]bool{
		errNotSent: true, rpc.ServerError("pool has another owner"): true,
		rpc.ServerError(errPanic.Error()): false, context.DeadlineExceeded: false,
	} {
		if got := nothingStarted(err); got != want {
			t.Errorf("%v: nothing started %v, want %v", err, got, want)
		}
	}
}

// Guards against a process that ends because its journal was sealed after every waiting
// record had expired, as after a pause.
func TestSealedJournalReplacesTheIncarnation(t *testing.T) {
	p, store, ended := runProcess(t)
	waitForShards(t, p)
	first := p.Node()
	if err := first.journal.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := journal.Seal(t.Context(), store, first.self.Incarnation, "other"); err != nil {
		t.Fatal(err)
	}
	first.journal.Append([]byte("{}"), time.Time{}, func(error) {}) // as a record that has expired: the node is not told
	waitFor(t, "next incarnation", func() bool { return len(ended) > 0 || p.Node() != first && member(p) })
}

// failingListener fails the first call of Accept, as without free descriptors.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a process that no peer can call any more after one error of its listener.
func TestAcceptGoesOnAfterError(t *testing.T) {
	n, _ := testNode(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	p := &Process{listener: &failingListener{Listener: listener}, conns: make(map[net.Conn]*Node)}
	p.node.Store(n)
	go p.accept(n)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := newPeer(listener.Addr().String()).call(ctx, connControl, "Peer.View", Empty{}, &ViewReply{}); err != nil {
		t.Errorf("call after an error of the listener: %v", err)
	}
}
