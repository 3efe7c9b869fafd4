package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// chunkBytes is the largest piece that is delayed as one.
const chunkBytes = 16 << 10

// queuedChunks bounds the data in flight in one direction: 4 MiB.
const queuedChunks = 256

// link is one proxied connection.
type link struct {
	proxy          *Proxy
	client, server net.Conn
	done           chan struct{}
	once           sync.Once
}

// chunk is data on its way; nil data is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

func newLink(p *Proxy, client, server net.Conn) *link {
	return &link{proxy: p, client: client, server: server, done: make(chan struct{})}
}

// cut resets both sides.
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

// cutAtRandom cuts the link at the rate of the settings.
func (l *link) cutAtRandom(stop <-chan struct{}) {
	for {
		s, changed := l.proxy.current()
		var due <-chan time.Time
		if s.CutsPerSecond > 0 {
			t := time.NewTimer(l.proxy.lifetime(s.CutsPerSecond))
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

// pipe moves data in one direction. It ends the other side's stream as the
// source does, and cuts the link after an error.
func (l *link) pipe(d direction, dst, src net.Conn) {
	queue := make(chan chunk, queuedChunks)
	go func() {
		defer close(queue)
		l.read(src, queue)
	}()
	for c := range queue {
		if !l.deliver(d, dst, c) {
			l.cut()
			for range queue { //nolint:revive // lets the reader end
			}
			return
		}
	}
}

// read queues what arrives, with the time at which it is due.
func (l *link) read(src net.Conn, queue chan<- chunk) {
	var last time.Time
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		s, _ := l.proxy.current()
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
	s, _ := l.proxy.current()
	// The time of the transfer is not counted against the delay: chunks that
	// queue up must not pass faster than the byte rate.
	if !l.sleep(time.Until(c.due)) || !l.sleep(s.transfer(len(c.data))) || !l.waitUnstalled(d) {
		return false
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

// waitUnstalled blocks while the direction is cut.
func (l *link) waitUnstalled(d direction) bool {
	for {
		s, changed := l.proxy.current()
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
