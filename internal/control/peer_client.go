package control

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	// dialTimeout limits a dial, far above a round trip between availability zones.
	dialTimeout = 600 * time.Millisecond
	// userTimeoutMillis is the TCP user timeout, in milliseconds. It closes connections whose peer acknowledges no data for
	// twice ownerSilenceLimit.
	userTimeoutMillis = 1500
)

// errNotConnected means that a call has certainly not been sent.
var errNotConnected = errors.New("no connection to the peer")

// silentPeerAfter is how long a call must have waited for its silence to say something about its connection. Votes and pings
// wait for longer.
const silentPeerAfter = 300 * time.Millisecond

// idlePeerTimeout closes connections to processes that are no longer called, such as the voters of an earlier vote.
const idlePeerTimeout = 15 * time.Second

// peerClient holds one connection to another process.
type peerClient struct {
	n        *Node // for the log; nil in tests
	address  string
	mu       sync.Mutex
	client   *rpc.Client
	conn     *HeardConn // of client
	calls    int        // calls in flight
	lastUsed time.Time
	dial     func(ctx context.Context) (net.Conn, error) // nil: TCP to the address
}

// call sends a message and waits for its reply. An abandoned call may still be executed.
func call[R any](ctx context.Context, p *peerClient, method string, args any, reply *R) error {
	p.begin()
	defer p.end()
	client, err := p.connect(ctx)
	if err != nil {
		return err
	}
	sent := time.Now()
	decoded := new(R) // not reply itself, as net/rpc may decode a late reply after the call has been abandoned
	pending := client.Go("Peer."+method, args, decoded, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		*reply = *decoded
		if _, remote := pending.Error.(rpc.ServerError); pending.Error != nil && !remote && !errors.Is(pending.Error, errPaused) {
			p.disconnect(client)
		}
		return pending.Error
	case <-ctx.Done():
		p.abandon(ctx, client, sent)
		return ctx.Err()
	}
}

// abandon closes the connection of a call that has reached its time limit, if nothing has arrived on it since the call was sent: it may
// have gone silent, and all further calls would be lost on it. A call with a short limit says nothing, nor does one during which this
// process was paused.
func (p *peerClient) abandon(ctx context.Context, client *rpc.Client, sent time.Time) {
	deadline, ok := ctx.Deadline()
	if !ok || !errors.Is(ctx.Err(), context.DeadlineExceeded) || time.Since(deadline) > pauseTolerance || time.Since(sent) < silentPeerAfter {
		return
	}
	p.mu.Lock()
	silent := p.client == client && p.conn.HeardAt().Before(sent)
	p.mu.Unlock()
	if silent {
		p.disconnect(client)
	}
}

func (p *peerClient) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
}

func (p *peerClient) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls--
	p.lastUsed = time.Now()
}

// closeIdle closes a connection that has not been used since the given time.
func (p *peerClient) closeIdle(since time.Time) {
	p.mu.Lock()
	var idle *rpc.Client
	if p.calls == 0 && p.lastUsed.Before(since) {
		idle, p.client = p.client, nil
	}
	p.mu.Unlock()
	if idle != nil {
		_ = idle.Close() // it has no calls that could fail
	}
}

func (p *peerClient) connect(ctx context.Context) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	dial := p.dial
	if dial == nil {
		dial = func(ctx context.Context) (net.Conn, error) {
			return DialFunc(dialTimeout)(ctx, "tcp", p.address)
		}
	}
	conn, err := dial(ctx)
	if err != nil {
		return nil, errors.Join(errNotConnected, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		_ = conn.Close() // another call has connected in the meantime
		return p.client, nil
	}
	p.conn = NewHeardConn(conn)
	p.client = rpc.NewClientWithCodec(newPeerCodec(p.n, p.conn))
	return p.client, nil
}

// disconnect closes a connection that has failed or no longer responds; nil means the current one.
func (p *peerClient) disconnect(client *rpc.Client) {
	p.mu.Lock()
	if p.client == client || client == nil {
		client, p.client = p.client, nil
	}
	p.mu.Unlock()
	if client != nil {
		_ = client.Close() // makes its pending calls fail, as intended
	}
}

// peerClients holds one client per address.
type peerClients struct {
	n       *Node                                                       // for the log
	dial    func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
	mu      sync.Mutex
	clients map[string]*peerClient
}

// closeIdle closes the connections that have not been used for idlePeerTimeout.
func (p *peerClients) closeIdle() {
	p.mu.Lock()
	clients := make([]*peerClient, 0, len(p.clients))
	for _, c := range p.clients {
		clients = append(clients, c)
	}
	p.mu.Unlock()
	since := time.Now().Add(-idlePeerTimeout)
	for _, c := range clients {
		c.closeIdle(since)
	}
}

func (p *peerClients) get(address string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients == nil {
		p.clients = map[string]*peerClient{}
	}
	c := p.clients[address]
	if c == nil {
		c = &peerClient{n: p.n, address: address}
		if p.dial != nil {
			c.dial = func(ctx context.Context) (net.Conn, error) { return p.dial(ctx, address) }
		}
		p.clients[address] = c
	}
	return c
}
