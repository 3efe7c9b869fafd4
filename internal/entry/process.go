package entry

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// restartDelay is the time between two incarnations. It limits the store writes
// of a process whose incarnations are replaced immediately.
const restartDelay = 200 * time.Millisecond

// failureDelay is the time until the next incarnation after a panic. The shards are
// left to other processes meanwhile, in case the state of this one caused it.
const failureDelay = time.Second

// acceptRetryDelay is the time until connections are accepted again after an error, for
// example while the process has no free descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Process runs one incarnation after another and serves the RPC of the current
// one. A process that was replaced, for example while it was paused, drops its
// state and rejoins as a new incarnation.
type Process struct {
	cfg      Config
	listener net.Listener
	node     atomic.Pointer[Node]
	leaving  atomic.Bool
	draining atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]*Node
}

// NewProcess listens for other entry processes at the RPC listen address of the settings.
func NewProcess(cfg Config) (*Process, error) {
	l, err := net.Listen("tcp", cfg.Settings.RPCListenAddress)
	if err != nil {
		return nil, oops.In("entry").Wrapf(err, "listen for entry processes")
	}
	return &Process{cfg: cfg, listener: l, conns: make(map[net.Conn]*Node)}, nil
}

// Run runs until ctx ends; Leave does not end it. An incarnation that was replaced, or
// that failed with a panic, is followed by a new one, unless Leave was called.
func (p *Process) Run(ctx context.Context) error {
	defer p.listener.Close()
	for ctx.Err() == nil {
		n := NewNode(ctx, p.cfg)
		p.node.Store(n)
		go p.accept(n)
		n.log.WithField("incarnation", n.self.Incarnation).Info("entry: incarnation started")
		err := n.Run()
		p.closeConns(n)
		delay := restartDelay
		switch {
		case p.leaving.Load() || err == nil:
			return err
		case errors.Is(err, ErrReplaced):
			n.log.Warn("entry: incarnation was replaced; rejoining as a new incarnation")
		case failed(err):
			n.log.Warn("entry: incarnation failed; rejoining as a new incarnation")
			delay = failureDelay
		default:
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	return nil
}

// accept serves connections while n is the current incarnation.
func (p *Process) accept(n *Node) {
	server := rpc.NewServer()
	for name, service := range map[string]any{
		"Shard":    &ShardService{n},
		"Pool":     &PoolService{n},
		"Peer":     &PeerService{n},
		"Operator": &OperatorService{n},
	} {
		if err := server.RegisterName(name, service); err != nil {
			n.log.WithError(err).Error("entry: can't register an RPC service")
		}
	}
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if p.node.Load() != n {
			// The accept loop of the current incarnation serves later connections.
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		p.track(conn, n)
		go func() {
			defer p.untrack(conn)
			var failure error // logged by recoverCall
			defer n.recoverCall("decode", &failure)
			defer conn.Close() // also after a panic of the decoder
			server.ServeConn(conn)
		}()
	}
}

func (p *Process) track(conn net.Conn, n *Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = n
}

func (p *Process) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// closeConns closes the connections of an incarnation that has ended.
func (p *Process) closeConns(n *Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, owner := range p.conns {
		if owner == n {
			_ = conn.Close()
			delete(p.conns, conn)
		}
	}
}

// Leave hands over all shards. The process serves its callers in the meantime. Run
// continues until its context ends.
func (p *Process) Leave(ctx context.Context) error {
	p.leaving.Store(true)
	n := p.node.Load()
	if n == nil {
		return nil
	}
	return n.Leave(ctx)
}

// Node returns the current incarnation, or nil before Run.
func (p *Process) Node() *Node { return p.node.Load() }
