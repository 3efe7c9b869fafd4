package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/platform"
)

// idleTimeout exceeds that of the clients, so that the client closes idle
// connections first and no command meets a closing one.
const idleTimeout = 2 * time.Minute

// Endpoint is a runner or worker that serves the endpoint protocol on one port.
// It is safe for concurrent use.
type Endpoint struct {
	cfg      Config
	log      *effectLog
	progress *progress
	frozen   gate
	hung     gate
	conns    connTracker
	server   *http.Server
	address  string

	mu       sync.Mutex // guards the fields below and the ledger
	in       *instance
	faults   Faults
	setting  int // counts calls of SetFaults
	stats    Stats
	listener net.Listener // nil while connections are refused
	platform string       // base URL of the platform, once registered
	closed   bool
	work     sync.WaitGroup
}

// Listen starts an endpoint on the address; port 0 takes a free port.
func Listen(address string, cfg Config) (*Endpoint, error) {
	return listen(address, cfg, newProgress())
}

func listen(address string, cfg Config, p *progress) (*Endpoint, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	e := &Endpoint{cfg: cfg, log: &effectLog{limit: cfg.MaxEffects}, progress: p}
	e.conns.limit = cfg.MaxConnections
	e.stats.Refusals = map[endpoint.RefusalCode]int{}
	e.in = e.newInstance()
	e.server = &http.Server{Handler: e.handler(), IdleTimeout: idleTimeout, ErrorLog: discardLog()}
	if err := e.open(address); err != nil {
		e.in.shut()
		return nil, err
	}
	return e, nil
}

// open listens and serves on the address.
func (e *Endpoint) open(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	e.mu.Lock()
	e.listener = ln
	e.address = ln.Addr().String()
	e.mu.Unlock()
	go func() { _ = e.server.Serve(&trackedListener{Listener: ln, tracker: &e.conns}) }()
	return nil
}

// Address returns ip:port of the endpoint.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Config returns the configuration.
func (e *Endpoint) Config() Config { return e.cfg }

// VM returns the entry of the VM list.
func (e *Endpoint) VM() platform.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.vm()
}

func (e *Endpoint) vm() platform.VM {
	state := platform.VMLive
	if e.faults.Leaving {
		state = platform.VMLeaving
	}
	return e.cfg.vm(e.address, state)
}

// Effects returns the effect log.
func (e *Endpoint) Effects() EffectLog { return e.log.snapshot() }

// Stats returns the counters.
func (e *Endpoint) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Refusals = map[endpoint.RefusalCode]int{}
	for code, n := range e.stats.Refusals {
		s.Refusals[code] = n
	}
	s.Running = len(e.in.ledger.active)
	s.Instance = e.in.id
	s.Connections, s.MaxConnections, s.Rejected = e.conns.counts()
	return s
}

// Faults returns the switches.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the switches.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	old := e.faults
	e.faults = f
	e.setting++
	setting := e.setting
	e.in.ledger.setLeaving(e.in.now(), f.Leaving, !f.LeavingAccepts)
	vm, base, ctx := e.vm(), e.platform, e.in.ctx
	e.mu.Unlock()

	e.hung.set(f.Hang)
	e.frozen.set(f.Freeze)
	e.refuse(f.RefuseConnections)
	if f.Leaving != old.Leaving && base != "" {
		go func() { _ = register(ctx, base, vm) }()
	}
	if f.ForMS > 0 {
		time.AfterFunc(time.Duration(f.ForMS)*time.Millisecond, func() { e.resetFaults(setting) })
	}
}

// resetFaults clears the switches unless they were set again.
func (e *Endpoint) resetFaults(setting int) {
	e.mu.Lock()
	current := e.setting == setting
	e.mu.Unlock()
	if current {
		e.SetFaults(Faults{})
	}
}

// refuse closes the port and all connections, or opens the port again.
func (e *Endpoint) refuse(on bool) {
	e.mu.Lock()
	ln, address := e.listener, e.address
	if on {
		e.listener = nil
	}
	e.mu.Unlock()
	switch {
	case on && ln != nil:
		_ = ln.Close()
		e.conns.resetAll()
	case !on && ln == nil:
		// Another socket may hold the port for a moment.
		for i := 0; i < 50 && e.open(address) != nil; i++ {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Restart ends the instance as a crash does, and starts a new one. Running work
// ends without effect; only the effect log and saved progress stay.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	old := e.in
	for _, a := range old.ledger.running() {
		old.ledger.end(old.now(), a, EndRestart)
	}
	old.shut()
	e.in = e.newInstance()
	e.mu.Unlock()
	e.conns.resetAll()
}

// Register announces the VM to the platform, retrying until it answers.
func (e *Endpoint) Register(ctx context.Context, platformURL string) error {
	e.mu.Lock()
	e.platform = platformURL
	vm := e.vm()
	e.mu.Unlock()
	return register(ctx, platformURL, vm)
}

// Deregister removes the VM from the platform's list, once, without retries. It
// does nothing unless the VM was registered.
func (e *Endpoint) Deregister(ctx context.Context) error {
	e.mu.Lock()
	base := e.platform
	e.mu.Unlock()
	if base == "" {
		return nil
	}
	return callPlatform(ctx, http.MethodDelete, base+"/admin/vms/"+url.PathEscape(e.cfg.ID), nil)
}

// Close stops the endpoint. Running work ends without effect.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	for _, a := range e.in.ledger.running() {
		e.in.ledger.end(e.in.now(), a, EndRestart)
	}
	e.in.shut()
	e.mu.Unlock()
	e.hung.set(false)
	e.frozen.set(false)
	_ = e.server.Close()
	e.conns.resetAll()
	e.work.Wait()
}

// shut ends the goroutines of the instance.
func (in *instance) shut() {
	in.cancel()
	in.lapse.Stop()
}
