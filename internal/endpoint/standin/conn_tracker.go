package standin

import (
	"net"
	"sync"
)

// connTracker records the open connections of an endpoint and limits their
// number. It is safe for concurrent use.
type connTracker struct {
	limit int // 0 for no limit

	mu       sync.Mutex
	open     map[*trackedConn]struct{}
	maxOpen  int
	rejected int
}

// add registers a connection, or resets it if the limit is reached.
func (t *connTracker) add(c net.Conn) (*trackedConn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit > 0 && len(t.open) >= t.limit {
		t.rejected++
		reset(c)
		return nil, false
	}
	if t.open == nil {
		t.open = map[*trackedConn]struct{}{}
	}
	tc := &trackedConn{Conn: c, tracker: t}
	t.open[tc] = struct{}{}
	t.maxOpen = max(t.maxOpen, len(t.open))
	return tc, true
}

func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// resetAll resets all open connections.
func (t *connTracker) resetAll() {
	t.mu.Lock()
	var all []*trackedConn
	for c := range t.open {
		all = append(all, c)
	}
	t.mu.Unlock()
	for _, c := range all {
		reset(c.Conn)
		t.remove(c)
	}
}

func (t *connTracker) counts() (open, maxOpen, rejected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.maxOpen, t.rejected
}

// reset closes the connection with a TCP reset, as if its process had crashed.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// trackedConn is a connection that removes itself from its tracker when it is closed.
type trackedConn struct {
	net.Conn
	tracker *connTracker
}

// Close removes the connection from the tracker and closes it.
func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// trackedListener registers accepted connections with a tracker.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept returns the next connection that doesn't exceed the limit of the tracker.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tc, ok := l.tracker.add(c); ok {
			return tc, nil
		}
	}
}
