package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// maxRequestBytes is enough for a value of platform.MaxValueBytes in base64.
const maxRequestBytes = 2 << 20

// Handler returns the HTTP handler of the platform's API and of the admin API:
//
//	GET, PUT /admin/faults       Faults
//	GET /admin/counters          Counters
//	POST /admin/vms              platform.VM, registers or replaces
//	DELETE /admin/vms/{id}       removes
//	PUT /admin/vm-lag            {"lag_ms": n}
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathGet, handle(func(ctx context.Context, r platform.GetRequest) (any, error) {
		return s.Get(ctx, r.Key)
	}))
	mux.HandleFunc("POST "+platform.PathList, handle(func(ctx context.Context, r platform.ListRequest) (any, error) {
		return s.List(ctx, r.Prefix, r.After, r.Limit)
	}))
	mux.HandleFunc("POST "+platform.PathPut, handle(func(ctx context.Context, r platform.PutRequest) (any, error) {
		v, err := s.Put(ctx, r.Key, r.Value, platform.PutOptions{IfVersion: r.IfVersion, Lease: r.Lease})
		return platform.PutReply{Version: v}, err
	}))
	mux.HandleFunc("POST "+platform.PathDelete, handle(func(ctx context.Context, r platform.DeleteRequest) (any, error) {
		return struct{}{}, s.Delete(ctx, r.Key, r.IfVersion)
	}))
	mux.HandleFunc("POST "+platform.PathWatch, handle(func(ctx context.Context, r platform.WatchRequest) (any, error) {
		return s.Watch(ctx, r.Prefix, r.After, milliseconds(r.WaitMS))
	}))
	mux.HandleFunc("POST "+platform.PathGrant, handle(func(ctx context.Context, r platform.GrantRequest) (any, error) {
		id, err := s.GrantLease(ctx, milliseconds(r.TTLMS))
		return platform.LeaseBody{Lease: id}, err
	}))
	mux.HandleFunc("POST "+platform.PathKeepAlive, handle(func(ctx context.Context, r platform.LeaseBody) (any, error) {
		return struct{}{}, s.KeepAlive(ctx, r.Lease)
	}))
	mux.HandleFunc("POST "+platform.PathRevoke, handle(func(ctx context.Context, r platform.LeaseBody) (any, error) {
		return struct{}{}, s.Revoke(ctx, r.Lease)
	}))
	mux.HandleFunc("GET "+platform.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := s.VMs(r.Context())
		if err != nil {
			reply(w, nil, err)
			return
		}
		replyVMs(w, r, vms)
	})
	s.handleAdmin(mux)
	return mux
}

func (s *Server) handleAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, s.Faults(), nil)
	})
	mux.HandleFunc("PUT /admin/faults", handle(func(_ context.Context, f Faults) (any, error) {
		s.SetFaults(f)
		return f, nil
	}))
	mux.HandleFunc("GET /admin/counters", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, s.Counters(), nil)
	})
	mux.HandleFunc("POST /admin/vms", handle(func(_ context.Context, vm platform.VM) (any, error) {
		if vm.ID == "" {
			return nil, platform.ErrBadRequest
		}
		s.RegisterVM(vm)
		return vm, nil
	}))
	mux.HandleFunc("DELETE /admin/vms/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.RemoveVM(r.PathValue("id"))
		reply(w, struct{}{}, nil)
	})
	mux.HandleFunc("PUT /admin/vm-lag", handle(func(_ context.Context, lag vmLagBody) (any, error) {
		s.SetVMLag(milliseconds(lag.LagMS))
		return lag, nil
	}))
}

type vmLagBody struct {
	LagMS int64 `json:"lag_ms"`
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// handle returns a handler that decodes the request body into a T, calls serve and sends the result.
func handle[T any](serve func(ctx context.Context, req T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
			reply(w, nil, bodyError(err))
			return
		}
		out, err := serve(r.Context(), req)
		reply(w, out, err)
	}
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return platform.ErrTooLarge
	}
	return platform.ErrBadRequest
}

// reply sends the result or the error of a call. If the outcome is uncertain, it closes the connection without a reply.
func reply(w http.ResponseWriter, out any, err error) {
	status := http.StatusOK
	if err != nil {
		code, refused, ok := platform.Refusal(err)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		status, out = refused, platform.ErrorReply{Code: code, Message: err.Error()}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // the caller may have disconnected
}
