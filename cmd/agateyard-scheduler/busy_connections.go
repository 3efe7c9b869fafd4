package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

const (
	// busyInterval is how often the connections are checked while the process waits for the last answers.
	busyInterval = 10 * time.Millisecond
	// unusedAge is the age at which a connection without any request is not waited for any more, as in http.Server.Shutdown.
	unusedAge = 5 * time.Second
)

// busyConnections are the connections on which a request is being read or answered, and those that have not sent one yet.
// http.Server.Shutdown is not used, because it closes connections whose request is read after it has begun.
type busyConnections struct {
	mu    sync.Mutex
	conns map[net.Conn]busyConnection
}

type busyConnection struct {
	state http.ConnState
	since time.Time
}

// record is the ConnState hook of the server.
func (b *busyConnections) record(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state != http.StateNew && state != http.StateActive {
		delete(b.conns, conn)
		return
	}
	if b.conns == nil {
		b.conns = map[net.Conn]busyConnection{}
	}
	b.conns[conn] = busyConnection{state, time.Now()}
}

func (b *busyConnections) any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		if c.state == http.StateActive || time.Since(c.since) < unusedAge {
			return true
		}
	}
	return false
}

// wait returns when no connection is busy, or with an error when ctx is done.
func (b *busyConnections) wait(ctx context.Context) error {
	for b.any() {
		if !ctxtime.Sleep(ctx, busyInterval) {
			return ctx.Err()
		}
	}
	return nil
}
