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

// idleTimeout exceeds the idle timeout of the clients, so that the client closes
// an idle connection first and sends no command on a connection that the
// endpoint is closing.
const idleTimeout = 2 * time.Minute

// Endpoint is a simulated runner or worker that serves the endpoint protocol on
// one port. It is safe for concurrent use.
type Endpoint struct {
	cfg        Config
	log        *effectLog
	progress   *progress
	freezeGate gate
	hangGate   gate
	conns      connTracker
	server     *http.Server
	address    string // ip:port; guarded by mu

	mu            sync.Mutex // guards address, the fields below and the ledger
	current       *instance
	faults        Faults
	faultsVersion int // counts calls of SetFaults
	stats         Stats
	listener      net.Listener // nil while the endpoint refuses connections
	platformURL   string       // base URL of the platform; empty until Register is called
	closed        bool
	runs          sync.WaitGroup
}

// Listen starts an endpoint on the address; port 0 selects a free port.
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
	e.current = e.newInstance()
	e.server = &http.Server{Handler: e.handler(), IdleTimeout: idleTimeout, ErrorLog: discardLog()}
	if err := e.openListener(address); err != nil {
		e.current.stop()
		return nil, err
	}
	return e, nil
}

// openListener listens on the address and serves it in the background.
func (e *Endpoint) openListener(address string) error {
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

// Config returns the configuration of the endpoint.
func (e *Endpoint) Config() Config { return e.cfg }

// VM returns the entry for the platform's VM list.
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
	s.Running = len(e.current.ledger.active)
	s.Instance = e.current.id
	s.Connections, s.MaxConnections, s.Rejected = e.conns.counts()
	return s
}

// Faults returns the injected faults.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	old := e.faults
	e.faults = f
	e.faultsVersion++
	faultsVersion := e.faultsVersion
	e.current.ledger.setLeaving(e.current.now(), f.Leaving, !f.LeavingAccepts)
	vm, base, ctx := e.vm(), e.platformURL, e.current.ctx
	e.mu.Unlock()

	e.hangGate.set(f.Hang)
	e.freezeGate.set(f.Freeze)
	e.setRefuseConnections(f.RefuseConnections)
	if f.Leaving != old.Leaving && base != "" {
		go func() { _ = registerVM(ctx, base, vm) }()
	}
	if f.ForMS > 0 {
		time.AfterFunc(time.Duration(f.ForMS)*time.Millisecond, func() { e.resetFaults(faultsVersion) })
	}
}

// resetFaults clears the injected faults unless SetFaults was called since.
func (e *Endpoint) resetFaults(faultsVersion int) {
	e.mu.Lock()
	current := e.faultsVersion == faultsVersion
	e.mu.Unlock()
	if current {
		e.SetFaults(Faults{})
	}
}

// setRefuseConnections closes the port and resets all connections, or reopens the port.
func (e *Endpoint) setRefuseConnections(on bool) {
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
		// Another socket may use the port for a short time.
		for i := 0; i < 50 && e.openListener(address) != nil; i++ {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Restart simulates a crash of the current instance and starts a new one. Running
// work ends without effect. Only the effect log, the counters, the injected
// faults and saved progress are kept.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	old := e.current
	for _, a := range old.ledger.running() {
		old.ledger.stopAttempt(old.now(), a, EndRestart)
	}
	old.stop()
	e.current = e.newInstance()
	e.mu.Unlock()
	e.conns.resetAll()
}

// Register adds the VM to the platform's list. It retries until the call succeeds
// or the context ends, unless the URL is invalid.
func (e *Endpoint) Register(ctx context.Context, platformURL string) error {
	e.mu.Lock()
	e.platformURL = platformURL
	vm := e.vm()
	e.mu.Unlock()
	return registerVM(ctx, platformURL, vm)
}

// Deregister removes the VM from the platform's list. It makes a single call
// without retries, and does nothing unless Register was called before.
func (e *Endpoint) Deregister(ctx context.Context) error {
	e.mu.Lock()
	base := e.platformURL
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
	for _, a := range e.current.ledger.running() {
		e.current.ledger.stopAttempt(e.current.now(), a, EndRestart)
	}
	e.current.stop()
	e.mu.Unlock()
	e.hangGate.set(false)
	e.freezeGate.set(false)
	_ = e.server.Close()
	e.conns.resetAll()
	e.runs.Wait()
}

// stop cancels the context of the instance and stops its lease timer.
func (in *instance) stop() {
	in.cancel()
	in.leaseTimer.Stop()
}
