package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"version":`))
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server detects that the client disconnected only after the body is read
	<-r.Context().Done()
}

// Guards against reporting a write as not applied although it may have taken
// effect, and against reporting a refused write as uncertain.
func TestErrorsOfWritesAndReads(t *testing.T) {
	cases := map[string]struct {
		serve       http.HandlerFunc
		write, read error
	}{
		"conflict":             {respond(409, `{"code":"conflict"}`), ErrConflict, ErrConflict},
		"throttled":            {respond(429, `{"code":"throttled"}`), ErrThrottled, ErrThrottled},
		"unavailable":          {respond(503, `{"code":"unavailable"}`), ErrUnavailable, ErrUnavailable},
		"lease gone":           {respond(410, `{"code":"lease-gone"}`), ErrLeaseGone, ErrLeaseGone},
		"not found":            {respond(404, `{"code":"not-found"}`), ErrNotFound, ErrNotFound},
		"503 of a middlebox":   {respond(503, `busy`), ErrUncertain, ErrUnavailable},
		"409 without a code":   {respond(409, `{}`), ErrUncertain, ErrUnavailable},
		"code of other status": {respond(500, `{"code":"conflict"}`), ErrUncertain, ErrUnavailable},
		"reply lost":           {abort, ErrUncertain, ErrUnavailable},
		"reply truncated":      {truncate, ErrUncertain, ErrUnavailable},
		"reply malformed":      {respond(200, `{"version":`), ErrUncertain, ErrUnavailable},
		"no reply in time":     {hang, ErrUncertain, ErrUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.serve)
			defer server.Close()
			client := NewHTTPClient(server.URL, WithTimeout(100*time.Millisecond))
			defer client.Close()
			if _, err := client.Put(t.Context(), "k", nil, PutOptions{}); !errors.Is(err, c.write) {
				t.Errorf("write: %v, want %v", err, c.write)
			}
			if _, err := client.Get(t.Context(), "k"); !errors.Is(err, c.read) {
				t.Errorf("read: %v, want %v", err, c.read)
			}
		})
	}
}

// Guards against reporting a write as uncertain although it was never sent: the
// journal would block until the store is available again.
func TestWriteThatWasNotSentIsNotUncertain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	client := NewHTTPClient("http://" + l.Addr().String())
	defer client.Close()
	if _, err = client.Put(t.Context(), "k", nil, PutOptions{}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("connection refused: %v", err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err = client.Put(cancelled, "k", nil, PutOptions{}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("cancelled context: %v", err)
	}
	if _, err = client.Put(t.Context(), "k", make([]byte, MaxValueBytes+1), PutOptions{}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("value too large: %v", err)
	}
}

// Guards against a client that exceeds its rate limit, and against the loss of a lease
// because other writes have used up the rate.
func TestClientRateLimitExemptsLeaseRenewals(t *testing.T) {
	server := httptest.NewServer(respond(200, `{}`))
	defer server.Close()
	client := NewHTTPClient(server.URL, WithRates(2, 2), WithTimeout(100*time.Millisecond))
	defer client.Close()
	if _, err := client.Put(t.Context(), "k", nil, PutOptions{}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(t.Context(), "k", nil, PutOptions{}); !errors.Is(err, ErrThrottled) {
		t.Errorf("second write: %v", err)
	}
	if err := client.KeepAlive(t.Context(), "lease"); err != nil {
		t.Errorf("renewal: %v", err)
	}
}
