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

// links carry the connections between entry processes, through one proxy for
// each ordered pair of processes, so that one process can be cut off from the
// others. The process that opens a connection is found by its port in /proc.
type links struct {
	t       *testing.T
	mu      sync.Mutex
	entries []*entryProc
	pairs   map[linkPair]*faultproxy.Proxy
	faults  func(linkPair) faultproxy.Settings // in force, for new pairs as well
}

// linkPair is the way of connections that one process opens to another.
type linkPair struct{ from, to *entryProc }

func newLinks(t *testing.T) *links {
	l := &links{t: t, pairs: make(map[linkPair]*faultproxy.Proxy)}
	l.faults = func(linkPair) faultproxy.Settings { return faultproxy.Settings{} }
	t.Cleanup(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, p := range l.pairs {
			p.Close()
		}
	})
	return l
}

// serve accepts connections at the announced address of a process and passes
// them on to the address at which it listens.
func (l *links) serve(to *entryProc, listen string) {
	l.t.Helper()
	l.mu.Lock()
	l.entries = append(l.entries, to)
	l.mu.Unlock()
	front, err := net.Listen("tcp", to.rpc)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { front.Close() })
	go func() {
		for {
			conn, err := front.Accept()
			if err != nil {
				return
			}
			go l.forward(conn, to, listen)
		}
	}()
}

func (l *links) forward(conn net.Conn, to *entryProc, listen string) {
	defer conn.Close()
	p, err := l.pair(conn, to, listen)
	if err != nil {
		l.t.Logf("link to %s: %v", to.name, err)
		return
	}
	next, err := net.Dial("tcp", p.Address())
	if err != nil {
		return
	}
	defer next.Close()
	var wg sync.WaitGroup
	pass := func(dst, src net.Conn) {
		_, _ = io.Copy(dst, src)
		conn.Close()
		next.Close()
	}
	wg.Go(func() { pass(next, conn) })
	wg.Go(func() { pass(conn, next) })
	wg.Wait()
}

// pair returns the proxy for connections from the process that opened conn.
func (l *links) pair(conn net.Conn, to *entryProc, listen string) (*faultproxy.Proxy, error) {
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
	p, err := faultproxy.Listen("127.0.0.1:0", listen, l.faults(key), 1)
	if err == nil {
		l.pairs[key] = p
	}
	return p, err
}

// opener returns the entry process that holds the socket of a local port.
func (l *links) opener(port int) (*entryProc, error) {
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
	return nil, fmt.Errorf("no entry process has port %d", port)
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

// isolate stops what a process sends to its peers and, with both set, what
// they send to it. Connections stay open.
func (l *links) isolate(e *entryProc, both bool) {
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

// heal ends all cuts.
func (l *links) heal() {
	l.set(func(linkPair) faultproxy.Settings { return faultproxy.Settings{} })
}

func (l *links) set(settings func(linkPair) faultproxy.Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = settings
	for pair, p := range l.pairs {
		if err := p.Set(settings(pair)); err != nil {
			l.t.Error(err)
		}
	}
}

// reset breaks all connections; what they carry is lost.
func (l *links) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pairs {
		p.Cut()
	}
}
