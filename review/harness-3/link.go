//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// link forwards connections to one address. Those that are open can go silent for good, while new ones work.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     map[*linkConn]bool
}

type linkConn struct {
	near, far net.Conn
	silent    chan struct{}
	once      sync.Once
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", ownAddress())
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, open: map[*linkConn]bool{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(near)
	}
}

func (l *link) forward(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(near)
		return
	}
	c := &linkConn{near: near, far: far, silent: make(chan struct{})}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(far, near) })
	wg.Go(func() { c.copy(near, far) })
	wg.Wait()
	_ = near.Close()
	_ = far.Close()
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// copy forwards one direction. A silent connection takes what is sent and delivers neither that nor its end.
func (c *linkConn) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-c.silent:
			if err == nil {
				continue
			}
			return
		default:
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			_ = to.Close()
			return
		}
	}
}

// silence makes the open connections silent and returns how many there are.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.once.Do(func() { close(c.silent) })
	}
	return len(l.open)
}

func (l *link) close() { _ = l.listener.Close() }
