package entry

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// dialTimeout limits the connection setup to another entry process.
const dialTimeout = time.Second

// errNotSent means that a call was not sent, or that a dispatch has started nothing.
var errNotSent = errors.New("peer not reachable")

// peer is the RPC client of another entry process. Connections are opened on
// first use and reopened after a failure.
type peer struct {
	address string

	mu      sync.Mutex
	clients [connClasses]*rpc.Client
}

func newPeer(address string) *peer {
	return &peer{address: address}
}

// call performs an RPC. After an error other than errNotSent and rpc.ServerError
// it is unknown whether the call took effect.
func (p *peer) call(ctx context.Context, class connClass, method string, args, reply any) error {
	c, err := p.client(ctx, class)
	if err != nil {
		return errors.Join(errNotSent, err)
	}
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			p.dropOnTransportError(class, c, call.Error)
		}
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *peer) client(ctx context.Context, class connClass) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[class]; c != nil {
		return c, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.clients[class] = rpc.NewClient(conn)
	return p.clients[class], nil
}

// dropOnTransportError closes a broken connection, so that the next call dials
// again.
func (p *peer) dropOnTransportError(class connClass, c *rpc.Client, err error) {
	var server rpc.ServerError
	if errors.As(err, &server) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[class] == c {
		p.clients[class] = nil
	}
	_ = c.Close()
}

// closeConnections closes all connections. Otherwise a connection to an
// unreachable process would hang until TCP times out.
func (p *peer) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.clients {
		if c != nil {
			_ = c.Close()
			p.clients[i] = nil
		}
	}
}
