package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the maximum size of a chunk, the unit of delay.
const chunkBytes = 16 << 10

// queuedChunks is the maximum number of queued chunks in one direction, 4 MiB.
const queuedChunks = 256

// link is one proxied connection, with its connections to the client and the server.
type link struct {
	proxy          *Proxy
	client, server net.Conn
	done           chan struct{}
	once           sync.Once
	silent         atomic.Bool // what arrives is dropped from now on
}

// chunk is queued data; nil data marks the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

func newLink(p *Proxy, client, server net.Conn) *link {
	return &link{proxy: p, client: client, server: server, done: make(chan struct{})}
}

// cut resets both connections.
func (l *link) cut() {
	l.once.Do(func() {
		close(l.done)
		reset(l.client)
		reset(l.server)
	})
}

// run forwards until both directions have ended or the link is cut.
func (l *link) run() {
	defer l.cut()
	stopCuts := make(chan struct{})
	defer close(stopCuts)
	go l.cutAtRandom(stopCuts)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); l.pipe(forward, l.server, l.client) }()
	go func() { defer wg.Done(); l.pipe(backward, l.client, l.server) }()
	wg.Wait()
}

// cutAtRandom cuts the link after a random time that follows the rate in the settings.
func (l *link) cutAtRandom(stop <-chan struct{}) {
	for {
		s, changed := l.proxy.currentSettings()
		var due <-chan time.Time
		if s.CutsPerSecond > 0 {
			t := time.NewTimer(l.proxy.timeToNextCut(s.CutsPerSecond))
			defer t.Stop()
			due = t.C
		}
		select {
		case <-due:
			l.cut()
			return
		case <-changed:
		case <-stop:
			return
		}
	}
}

// pipe forwards data in one direction. At the end of the source's stream it closes
// the write side of the destination. It cuts the link after an error.
func (l *link) pipe(d direction, dst, src net.Conn) {
	queue := make(chan chunk, queuedChunks)
	go func() {
		defer close(queue)
		l.read(src, queue)
	}()
	for c := range queue {
		if !l.deliver(d, dst, c) {
			l.cut()
			for range queue { //nolint:revive // drains the queue so that the reader ends
			}
			return
		}
	}
}

// read queues the received data with the time at which it is due for delivery.
func (l *link) read(src net.Conn, queue chan<- chunk) {
	var last time.Time
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		s, _ := l.proxy.currentSettings()
		due := time.Now().Add(s.delay() + l.proxy.jitter(s.JitterMS))
		if due.Before(last) {
			due = last
		}
		last = due
		if n > 0 && !l.enqueue(queue, chunk{buf[:n], due}) {
			return
		}
		if errors.Is(err, io.EOF) {
			l.enqueue(queue, chunk{nil, due})
			return
		}
		if err != nil {
			l.cut()
			return
		}
	}
}

func (l *link) enqueue(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-l.done:
		return false
	}
}

// deliver writes the chunk when it is due and its direction is not stalled.
func (l *link) deliver(d direction, dst net.Conn, c chunk) bool {
	s, _ := l.proxy.currentSettings()
	// The transfer time is added to the delay, not included in it: otherwise queued
	// chunks would pass faster than the byte rate.
	if !l.sleep(time.Until(c.due)) || !l.sleep(s.transferTime(len(c.data))) || !l.waitUnstalled(d) {
		return false
	}
	if l.silent.Load() {
		return true
	}
	if c.data == nil {
		if tcp, ok := dst.(*net.TCPConn); ok {
			return tcp.CloseWrite() == nil
		}
		return true
	}
	_, err := dst.Write(c.data)
	return err == nil
}

func (l *link) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.done:
		return false
	}
}

// waitUnstalled blocks while the direction is stalled. It reports false if the link
// is cut first.
func (l *link) waitUnstalled(d direction) bool {
	for {
		s, changed := l.proxy.currentSettings()
		if !s.stalled(d) {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}
