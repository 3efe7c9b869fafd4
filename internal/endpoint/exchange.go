package endpoint

import (
	"net/http/httptrace"
	"sync"
)

// exchange records which connections http.Transport uses for one command.
type exchange struct {
	id string

	mu        sync.Mutex
	conns     []usedConn
	untracked bool // got a connection of another type, whose writes are not counted
}

// usedConn is a connection that was assigned to the command, and the number of
// bytes written to it before.
type usedConn struct {
	conn   *writeTrackingConn
	offset int64
	reused bool
}

// trace returns the httptrace hooks that record the connections.
func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: x.gotConn}
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := info.Conn.(*writeTrackingConn)
	if !ok {
		x.untracked = true
		return
	}
	x.conns = append(x.conns, usedConn{conn: c, offset: c.bytesWritten(), reused: info.Reused})
}

// abort closes every connection of the exchange and prevents further writes. It
// reports whether any byte of the command may have been sent, and whether the
// last connection was a reused one.
func (x *exchange) abort() (sent, reused bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent = x.untracked
	for _, u := range x.conns {
		if u.conn.abort(u.offset) {
			sent = true
		}
		reused = u.reused
	}
	return sent, reused
}
