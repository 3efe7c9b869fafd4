package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// memoryNetwork connects the processes of a test without sockets, so that the test can run in a bubble, whose time advances
// only while everything waits.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	nodes     []*testNode
	bandwidth float64                // of each process's link in bytes a second; 0: unlimited
	links     map[string]*narrowLink // by address
	late      map[string]bool        // addresses of the processes whose new connections to peers deliver late
	cut       map[networkPath]bool   // paths on which no connection can be made
}

// networkPath leads from the process at one address to the one at another.
type networkPath struct{ from, to string }

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{
		listeners: map[string]*memoryListener{}, links: map[string]*narrowLink{}, late: map[string]bool{}, cut: map[networkPath]bool{},
	}
}

// delay makes what the process at an address receives on new connections to its peers late by latePeers.
func (m *memoryNetwork) delay(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.late[address] = true
}

// cutOff lets the process at one address make no more connections to the one at another.
func (m *memoryNetwork) cutOff(from, to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[networkPath{from, to}] = true
}

// faultsOf returns the faults of a path.
func (m *memoryNetwork) faultsOf(from, to string) (late, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.late[from], m.cut[networkPath{from, to}]
}

// memoryListener accepts the connections to an address of a memoryNetwork.
type memoryListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (m *memoryNetwork) listen() *memoryListener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &memoryListener{
		address: fmt.Sprintf("10.0.0.%d:1", len(m.listeners)+1), conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	m.listeners[l.address] = l
	if m.bandwidth > 0 {
		m.links[l.address] = &narrowLink{bandwidth: m.bandwidth}
	}
	return l
}

// linkOf returns the narrow link of a process; nil if it is not narrow.
func (m *memoryNetwork) linkOf(address string) *narrowLink {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[address]
}

// dialFrom connects the process at an address to another one.
func (m *memoryNetwork) dialFrom(ctx context.Context, from, address string) (net.Conn, error) {
	late, cut := m.faultsOf(from, address)
	if cut {
		return nil, errUnreachable
	}
	conn, err := m.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if late {
		conn = newLateConn(conn, func(int) time.Time { return time.Now().Add(latePeers) })
	}
	link := m.linkOf(from)
	if link == nil {
		return conn, nil
	}
	if err := link.receive(ctx, messageOverhead); err != nil {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Err: err}
	}
	return newLateConn(conn, link.reserve), nil
}

func (m *memoryNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Err: net.UnknownNetworkError(address)}
	}
	client, server := net.Pipe()
	if link := m.linkOf(address); link != nil {
		if err := link.receive(ctx, messageOverhead); err != nil {
			return nil, &net.OpError{Op: "dial", Err: err}
		}
		server = newLateConn(server, link.reserve)
	}
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		_ = server.Close()
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	case <-ctx.Done():
		_ = server.Close()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// networks holds the networks of the tests that run in bubbles, by *testing.T.
var networks sync.Map

// inBubble runs a test whose processes have a network without sockets, and the clock of the bubble: what the test measures
// doesn't depend on the speed and load of its machine.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := newMemoryNetwork()
		networks.Store(t, network)
		t.Cleanup(func() { // after the processes have been killed
			networks.Delete(t)
			network.end()
		})
		test(t)
	})
}

// networkOf returns the network of a test in a bubble, or nil.
func networkOf(t *testing.T) *memoryNetwork {
	network, ok := networks.Load(t)
	if !ok {
		return nil
	}
	return network.(*memoryNetwork)
}

// useBubble replaces the clock and the connections of a node that has not been started.
func (m *memoryNetwork) useBubble(tn *testNode) {
	began, base := time.Now(), Clock{}.Now()
	tn.clock = Clock{now: func() time.Duration { return base + time.Since(began) }}
	tn.createdAt = tn.clock.Now()
	from := tn.opt.Address
	tn.peers.dial = func(ctx context.Context, address string) (net.Conn, error) { return m.dialFrom(ctx, from, address) }
	if link := m.linkOf(from); link != nil {
		tn.dep.Store = protectedStore{narrowStore{tn.dep.Store, link}, tn.Node}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes = append(m.nodes, tn)
}

// end waits until the calls that killed nodes have abandoned have ended, and ends the ownerships that began while the nodes
// were killed.
func (m *memoryNetwork) end() {
	const longestCall = 10 * time.Second
	time.Sleep(longestCall)
	for _, n := range m.nodes {
		if o := n.ownership.Load(); o != nil {
			o.stepDown("killed")
			<-o.ended
		}
	}
	time.Sleep(longestCall)
}
