package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// dialTimeout is the timeout for connecting to the target.
const dialTimeout = 5 * time.Second

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu       sync.Mutex
	rng      *rand.Rand
	settings Settings
	changed  chan struct{} // closed at the next change of the settings
	links    map[*link]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// Listen starts a proxy that listens on the address and forwards connections to
// the target. The seed determines jitter and random cuts.
func Listen(address, target string, s Settings, seed uint64) (*Proxy, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &Proxy{
		target: target, listener: ln, settings: s, changed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(seed, 0)), links: map[*link]struct{}{},
	}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Address returns ip:port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Settings returns the current settings.
func (p *Proxy) Settings() Settings {
	s, _ := p.currentSettings()
	return s
}

// Set replaces the settings.
func (p *Proxy) Set(s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings = s
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// Cut resets all open connections.
func (p *Proxy) Cut() {
	for _, l := range p.openLinks() {
		l.cut()
	}
}

// Silence makes the open connections deliver nothing more, not even their end, and returns how many there are. New ones work.
func (p *Proxy) Silence() int {
	links := p.openLinks()
	for _, l := range links {
		l.silent.Store(true)
	}
	return len(links)
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int { return len(p.openLinks()) }

// Close stops the proxy and resets all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Cut()
	p.wg.Wait()
}

func (p *Proxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	return out
}

// currentSettings returns the settings and a channel that is closed when they
// change.
func (p *Proxy) currentSettings() (Settings, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings, p.changed
}

// jitter returns a random duration up to the limit.
func (p *Proxy) jitter(limitMS int64) time.Duration {
	if limitMS <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Int64N(limitMS*int64(time.Millisecond) + 1))
}

// timeToNextCut returns a random time until the next cut of a connection at the
// given rate.
func (p *Proxy) timeToNextCut(cutsPerSecond float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.ExpFloat64() / cutsPerSecond * float64(time.Second))
}

func (p *Proxy) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.handle(c)
		}()
	}
}

func (p *Proxy) handle(client net.Conn) {
	if p.Settings().RefuseNew {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	l := newLink(p, client, server)
	if !p.addLink(l) {
		l.cut()
		return
	}
	l.run()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func (p *Proxy) addLink(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.links[l] = struct{}{}
	return true
}

// reset closes the connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
