package control

import (
	"net"
	"sync/atomic"
	"time"
)

// HeardConn is a connection that knows when something last arrived on it. Connections may go silent for good without an error.
type HeardConn struct {
	net.Conn
	heard atomic.Pointer[time.Time]
}

// NewHeardConn returns a connection that was opened just now.
func NewHeardConn(conn net.Conn) *HeardConn {
	c := &HeardConn{Conn: conn}
	c.hear()
	return c
}

func (c *HeardConn) hear() {
	now := time.Now()
	c.heard.Store(&now)
}

// HeardAt returns when something last arrived, or when the connection was opened.
func (c *HeardConn) HeardAt() time.Time { return *c.heard.Load() }

// Read implements net.Conn.
func (c *HeardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.hear()
	}
	return n, err
}
