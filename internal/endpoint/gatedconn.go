package endpoint

import (
	"net"
	"sync"
)

// gatedConn counts the bytes written to a connection and can be sealed, after
// which nothing more is written. It gives proof that a command was never sent:
// http.Transport alone can't tell, because its writer goroutine may run on
// after RoundTrip has returned an error.
type gatedConn struct {
	net.Conn

	mu       sync.Mutex
	written  int64
	inFlight bool // a write system call may be running
	sealed   bool
}

// Write writes p unless the connection is sealed.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.inFlight = true
	c.mu.Unlock()

	n, err := c.Conn.Write(p)

	c.mu.Lock()
	c.inFlight = false
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// mark returns the number of bytes written so far.
func (c *gatedConn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops writing for good, closes the connection and reports whether
// anything was or may have been written after the mark.
func (c *gatedConn) seal(mark int64) (sent bool) {
	c.mu.Lock()
	c.sealed = true
	sent = c.inFlight || c.written != mark
	c.mu.Unlock()
	c.Close()
	return sent
}
