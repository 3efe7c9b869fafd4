package endpoint

import (
	"net/http/httptrace"
	"sync"
)

// exchange follows one command over the connections that it is given.
type exchange struct {
	id string

	mu      sync.Mutex
	conns   []usedConn
	unknown bool // a connection of another type, of which nothing is known
}

// usedConn is a connection and its byte count when the command got it.
type usedConn struct {
	conn   *gatedConn
	mark   int64
	reused bool
}

// trace returns the hooks that record the connections.
func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: x.gotConn}
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := info.Conn.(*gatedConn)
	if !ok {
		x.unknown = true
		return
	}
	x.conns = append(x.conns, usedConn{conn: c, mark: c.mark(), reused: info.Reused})
}

// abort seals every connection of the exchange. It reports whether any byte may
// have been sent, and whether the last connection was a reused one.
func (x *exchange) abort() (sent, reused bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent = x.unknown
	for _, u := range x.conns {
		if u.conn.seal(u.mark) {
			sent = true
		}
		reused = u.reused
	}
	return sent, reused
}
