package standin

import (
	"net"
	"sync"
)

// connTracker bounds and lists the open connections of an endpoint. It is safe
// for concurrent use.
type connTracker struct {
	limit int // 0 for none

	mu       sync.Mutex
	open     map[*trackedConn]struct{}
	most     int
	rejected int
}

// add admits a connection, or closes it when too many are open.
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
	t.most = max(t.most, len(t.open))
	return tc, true
}

func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// resetAll breaks every open connection.
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

func (t *connTracker) counts() (open, most, rejected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.most, t.rejected
}

// reset closes the connection with a TCP reset, as a crashed process does.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// trackedConn removes itself from its tracker when it is closed.
type trackedConn struct {
	net.Conn
	tracker *connTracker
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// trackedListener admits connections through a tracker.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept returns the next connection that is within the limit.
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
