package endpoint

import (
	"net"
	"sync"
)

// writeTrackingConn counts the bytes written to a connection and can be aborted,
// after which nothing more is written. This proves that a command was never
// sent. http.Transport alone can't prove it, because its writer goroutine may
// continue after RoundTrip has returned an error.
type writeTrackingConn struct {
	net.Conn

	mu       sync.Mutex
	written  int64
	inFlight bool // a write system call may be running
	aborted  bool
}

// Write writes p, or returns net.ErrClosed if the connection was aborted.
func (c *writeTrackingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
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

// bytesWritten returns the number of bytes written so far.
func (c *writeTrackingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// abort prevents further writes, closes the connection and reports whether any
// byte was or may have been written beyond the offset.
func (c *writeTrackingConn) abort(offset int64) (sent bool) {
	c.mu.Lock()
	c.aborted = true
	sent = c.inFlight || c.written != offset
	c.mu.Unlock()
	c.Close()
	return sent
}
