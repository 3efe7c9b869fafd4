// Package balancer simulates the load balancer of the platform. It distributes TCP
// connections over the entry processes that are ready.
package balancer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// acceptRetryDelay is the time until connections are accepted again after an error, for
// example while the process has no free descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Options are the settings of a balancer.
type Options struct {
	Backends      []string      // ip:port of entry processes
	CheckInterval time.Duration // between two GET /readyz of a backend
	CheckTimeout  time.Duration
	DialTimeout   time.Duration
}

// DefaultOptions returns the default options with the given backends.
func DefaultOptions(backends []string) Options {
	return Options{
		Backends:      backends,
		CheckInterval: 250 * time.Millisecond,
		CheckTimeout:  time.Second,
		DialTimeout:   time.Second,
	}
}

// Validate returns all invalid options, joined.
func (o Options) Validate() error {
	var errs []error
	if len(o.Backends) == 0 {
		errs = append(errs, errors.New("no backends"))
	}
	if o.CheckInterval <= 0 || o.CheckTimeout <= 0 || o.DialTimeout <= 0 {
		errs = append(errs, errors.New("check interval, check timeout and dial timeout must be positive"))
	}
	return errors.Join(errs...)
}

// Balancer forwards each accepted connection to the next ready backend in
// round-robin order. A backend that is no longer ready keeps its open connections.
// Balancer is safe for concurrent use.
type Balancer struct {
	opts     Options
	listener net.Listener
	client   *http.Client
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	ready  map[string]bool
	next   int
	conns  map[net.Conn]struct{}
	closed bool
}

// Listen starts a balancer on the address. It returns after the first round of
// readiness checks.
func Listen(address string, opts Options) (*Balancer, error) {
	if err := opts.Validate(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Balancer{
		opts: opts, listener: ln, cancel: cancel,
		// Without keep-alive each check also verifies that the backend accepts new connections.
		client: &http.Client{Timeout: opts.CheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		ready:  map[string]bool{}, conns: map[net.Conn]struct{}{},
	}
	b.checkAll(ctx)
	b.wg.Add(2)
	go func() { defer b.wg.Done(); b.checkLoop(ctx) }()
	go func() { defer b.wg.Done(); b.accept() }()
	return b, nil
}

// Address returns ip:port of the balancer.
func (b *Balancer) Address() string { return b.listener.Addr().String() }

// Ready returns the backends that are ready, in the order of the options.
func (b *Balancer) Ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, a := range b.opts.Backends {
		if b.ready[a] {
			out = append(out, a)
		}
	}
	return out
}

// Close stops the balancer and closes all connections.
func (b *Balancer) Close() {
	b.cancel()
	_ = b.listener.Close()
	b.mu.Lock()
	b.closed = true
	for c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
}

func (b *Balancer) checkLoop(ctx context.Context) {
	tick := time.NewTicker(b.opts.CheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			b.checkAll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balancer) checkAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range b.opts.Backends {
		wg.Go(func() {
			ok := b.check(ctx, a)
			b.mu.Lock()
			b.ready[a] = ok
			b.mu.Unlock()
		})
	}
	wg.Wait()
}

func (b *Balancer) check(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *Balancer) accept() {
	for {
		c, err := b.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			b.handle(c)
		}()
	}
}

func (b *Balancer) handle(client net.Conn) {
	defer client.Close()
	server := b.dial()
	if server == nil {
		return
	}
	defer server.Close()
	if !b.track(client, server) {
		return
	}
	defer b.untrack(client, server)
	var wg sync.WaitGroup
	wg.Go(func() { forward(server, client) })
	wg.Go(func() { forward(client, server) })
	wg.Wait()
}

// dial connects to the next ready backend that accepts the connection. It returns
// nil if there is none.
func (b *Balancer) dial() net.Conn {
	for _, a := range b.dialOrder() {
		c, err := net.DialTimeout("tcp", a, b.opts.DialTimeout)
		if err == nil {
			return c
		}
	}
	return nil
}

// dialOrder returns the ready backends in round-robin order, next backend first.
func (b *Balancer) dialOrder() []string {
	ready := b.Ready()
	if len(ready) == 0 {
		return nil
	}
	b.mu.Lock()
	first := b.next % len(ready)
	b.next++
	b.mu.Unlock()
	return append(append([]string{}, ready[first:]...), ready[:first]...)
}

func (b *Balancer) track(cs ...net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range cs {
		b.conns[c] = struct{}{}
	}
	return !b.closed
}

func (b *Balancer) untrack(cs ...net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range cs {
		delete(b.conns, c)
	}
}

// forward copies until EOF of the source, then closes the write side of the
// destination. After an error it closes both connections, so that the other
// direction ends too.
func forward(dst, src net.Conn) {
	_, err := io.Copy(dst, src)
	if err != nil {
		_ = dst.Close()
		_ = src.Close()
		return
	}
	if tcp, ok := dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
