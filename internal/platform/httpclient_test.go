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

func cutOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"version":`))
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // only then does the server notice that the client is gone
	<-r.Context().Done()
}

// Guards against a write that is reported as not done although it may have taken
// effect, and against definite refusals that are taken for uncertain.
func TestErrorsOfWritesAndReads(t *testing.T) {
	cases := map[string]struct {
		serve       http.HandlerFunc
		write, read error
	}{
		"conflict":             {answer(409, `{"code":"conflict"}`), ErrConflict, ErrConflict},
		"throttled":            {answer(429, `{"code":"throttled"}`), ErrThrottled, ErrThrottled},
		"unavailable":          {answer(503, `{"code":"unavailable"}`), ErrUnavailable, ErrUnavailable},
		"lease gone":           {answer(410, `{"code":"lease-gone"}`), ErrLeaseGone, ErrLeaseGone},
		"not found":            {answer(404, `{"code":"not-found"}`), ErrNotFound, ErrNotFound},
		"503 of a middlebox":   {answer(503, `busy`), ErrUncertain, ErrUnavailable},
		"409 without a code":   {answer(409, `{}`), ErrUncertain, ErrUnavailable},
		"code of other status": {answer(500, `{"code":"conflict"}`), ErrUncertain, ErrUnavailable},
		"reply lost":           {abort, ErrUncertain, ErrUnavailable},
		"reply cut off":        {cutOff, ErrUncertain, ErrUnavailable},
		"reply malformed":      {answer(200, `{"version":`), ErrUncertain, ErrUnavailable},
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

// Guards against a write that certainly did not leave the process but is taken for
// uncertain: it would block the journal until the store is back.
func TestWriteThatWasNotSentIsDefinite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	client := NewHTTPClient("http://" + l.Addr().String())
	defer client.Close()
	if _, err = client.Put(t.Context(), "k", nil, PutOptions{}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("refused connection: %v", err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err = client.Put(ended, "k", nil, PutOptions{}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("ended context: %v", err)
	}
	if _, err = client.Put(t.Context(), "k", make([]byte, MaxValueBytes+1), PutOptions{}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("value too large: %v", err)
	}
}

// Guards against a process that exceeds its own rate, and against one that loses its
// lease because its other writes have used the rate up.
func TestOwnRateSparesLeaseRenewals(t *testing.T) {
	server := httptest.NewServer(answer(200, `{}`))
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
