package e2e

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/agateyard/agateyard/internal/faultproxy"
)

// links proxy the connections between entry processes so that a test can partition
// the network. There is one proxy for each ordered pair of processes. The process
// that opened a connection is found in /proc by the port of its socket.
type links struct {
	t       *testing.T
	mu      sync.Mutex
	entries []*entryProcess
	pairs   map[linkPair]*faultproxy.Proxy
	current func(linkPair) faultproxy.Settings // current settings, also used for new pairs
}

// linkPair identifies the connections that one process opens to another.
type linkPair struct{ from, to *entryProcess }

func newLinks(t *testing.T) *links {
	l := &links{t: t, pairs: make(map[linkPair]*faultproxy.Proxy)}
	l.current = func(linkPair) faultproxy.Settings { return faultproxy.Settings{} }
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.pairs {
			p.Close()
		}
	})
	return l
}

// serve accepts connections at the advertised address of a process and forwards
// them to its listen address.
func (l *links) serve(to *entryProcess, listen string) {
	l.t.Helper()
	l.mu.Lock()
	l.entries = append(l.entries, to)
	l.mu.Unlock()
	listener, err := net.Listen("tcp", to.rpc)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn, to, listen)
		}
	}()
}

func (l *links) forward(conn net.Conn, to *entryProcess, listen string) {
	defer conn.Close()
	p, err := l.pair(conn, to, listen)
	if err != nil {
		l.t.Logf("forward connection to %s: %v", to.name, err)
		return
	}
	upstream, err := net.Dial("tcp", p.Address())
	if err != nil {
		return
	}
	defer upstream.Close()
	var wg sync.WaitGroup
	copyConn := func(dst, src net.Conn) {
		_, _ = io.Copy(dst, src)
		conn.Close()
		upstream.Close()
	}
	wg.Go(func() { copyConn(upstream, conn) })
	wg.Go(func() { copyConn(conn, upstream) })
	wg.Wait()
}

// pair returns the proxy for connections from the process that opened conn.
func (l *links) pair(conn net.Conn, to *entryProcess, listen string) (*faultproxy.Proxy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from, err := l.opener(conn.RemoteAddr().(*net.TCPAddr).Port)
	if err != nil {
		return nil, err
	}
	key := linkPair{from, to}
	if p := l.pairs[key]; p != nil {
		return p, nil
	}
	p, err := faultproxy.Listen("127.0.0.1:0", listen, l.current(key), 1)
	if err == nil {
		l.pairs[key] = p
	}
	return p, err
}

// opener returns the entry process that has the socket with the local port open.
func (l *links) opener(port int) (*entryProcess, error) {
	const inodeField = 9
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil, err
	}
	local := fmt.Sprintf("0100007F:%04X", port)
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) <= inodeField || f[1] != local {
			continue
		}
		for _, e := range l.entries {
			if holdsSocket(e.cmd.Process.Pid, f[inodeField]) {
				return e, nil
			}
		}
	}
	return nil, fmt.Errorf("no entry process has local port %d open", port)
}

func holdsSocket(pid int, inode string) bool {
	fds, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, fd := range fds {
		if target, _ := os.Readlink(fd); target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// isolate stalls the traffic from a process to its peers and, if both is set, from
// them to it. Connections stay open.
func (l *links) isolate(e *entryProcess, both bool) {
	l.set(func(p linkPair) faultproxy.Settings {
		switch {
		case p.from == e:
			return faultproxy.Settings{StallForward: true, StallBackward: both}
		case p.to == e:
			return faultproxy.Settings{StallForward: both, StallBackward: true}
		default:
			return faultproxy.Settings{}
		}
	})
}

// heal removes all partitions.
func (l *links) heal() {
	l.set(func(linkPair) faultproxy.Settings { return faultproxy.Settings{} })
}

func (l *links) set(settings func(linkPair) faultproxy.Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = settings
	for pair, p := range l.pairs {
		if err := p.Set(settings(pair)); err != nil {
			l.t.Error(err)
		}
	}
}

// reset closes all connections; data in flight is lost.
func (l *links) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pairs {
		p.Cut()
	}
}
