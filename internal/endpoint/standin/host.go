package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// registerConcurrency is the maximum number of concurrent calls to the platform,
// which matters for hosts with many endpoints.
const registerConcurrency = 8

// Host runs many endpoints in one process, each on its own port, with a common
// admin address.
type Host struct {
	endpoints []*Endpoint
	server    *http.Server
	listener  net.Listener
}

// NewHost starts an endpoint for each configuration and serves the admin API on
// the admin address. The endpoints listen on free ports of the IP address if
// basePort is 0, and on consecutive ports from basePort otherwise. They share
// their checkpoints.
func NewHost(ip string, basePort int, admin string, configs []Config) (*Host, error) {
	h := &Host{}
	shared := newProgress()
	for i, c := range configs {
		port := 0
		if basePort != 0 {
			port = basePort + i
		}
		e, err := listen(fmt.Sprintf("%s:%d", ip, port), c, shared)
		if err != nil {
			h.Close()
			return nil, fmt.Errorf("%s: %w", c.ID, err)
		}
		h.endpoints = append(h.endpoints, e)
	}
	ln, err := net.Listen("tcp", admin)
	if err != nil {
		h.Close()
		return nil, fmt.Errorf("listen on the admin address: %w", err)
	}
	h.listener = ln
	h.server = &http.Server{Handler: h.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = h.server.Serve(ln) }()
	return h, nil
}

// Endpoints returns the endpoints in the order of their configurations.
func (h *Host) Endpoints() []*Endpoint { return h.endpoints }

// AdminAddress returns ip:port of the admin API.
func (h *Host) AdminAddress() string { return h.listener.Addr().String() }

// Register adds all VMs to the platform's list. It retries until all calls
// succeed or the context ends, unless the URL is invalid.
func (h *Host) Register(ctx context.Context, platformURL string) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(registerConcurrency)
	for _, e := range h.endpoints {
		g.Go(func() error { return e.Register(ctx, platformURL) })
	}
	return g.Wait()
}

// Deregister removes all registered VMs from the platform's list.
func (h *Host) Deregister(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(registerConcurrency)
	for _, e := range h.endpoints {
		g.Go(func() error { return e.Deregister(ctx) })
	}
	return g.Wait()
}

// Effects returns the effect logs of all endpoints in one list.
func (h *Host) Effects() EffectLog {
	all := EffectLog{Effects: []Effect{}}
	for _, e := range h.endpoints {
		l := e.Effects()
		all.Effects = append(all.Effects, l.Effects...)
		all.Dropped += l.Dropped
	}
	return all
}

// Close stops all endpoints.
func (h *Host) Close() {
	if h.server != nil {
		_ = h.server.Close()
	}
	for _, e := range h.endpoints {
		e.Close()
	}
}

// HostedEndpoint is an entry of GET /admin/endpoints.
type HostedEndpoint struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Stats   Stats  `json:"stats"`
	Faults  Faults `json:"faults"`
}

var errNoEndpoint = errors.New("no such endpoint")

// selectEndpoints returns the endpoint that the query parameter names, or all
// endpoints if the request has no such parameter.
func (h *Host) selectEndpoints(r *http.Request) ([]*Endpoint, error) {
	id := r.URL.Query().Get("endpoint")
	if id == "" {
		return h.endpoints, nil
	}
	for _, e := range h.endpoints {
		if e.cfg.ID == id {
			return []*Endpoint{e}, nil
		}
	}
	return nil, errNoEndpoint
}

func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/effects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Effects()) })
	mux.HandleFunc("GET /admin/endpoints", h.serveEndpoints)
	mux.HandleFunc("POST /admin/faults", h.serveFaults)
	mux.HandleFunc("POST /admin/restart", h.serveRestart)
	return mux
}

func (h *Host) serveEndpoints(w http.ResponseWriter, _ *http.Request) {
	out := make([]HostedEndpoint, 0, len(h.endpoints))
	for _, e := range h.endpoints {
		out = append(out, HostedEndpoint{ID: e.cfg.ID, Address: e.Address(), Stats: e.Stats(), Faults: e.Faults()})
	}
	writeJSON(w, out)
}

func (h *Host) serveFaults(w http.ResponseWriter, r *http.Request) {
	es, err := h.selectEndpoints(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	f, ok := readFaults(w, r)
	if !ok {
		return
	}
	for _, e := range es {
		e.SetFaults(f)
	}
}

func (h *Host) serveRestart(w http.ResponseWriter, r *http.Request) {
	es, err := h.selectEndpoints(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	for _, e := range es {
		e.Restart()
	}
}
