package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoServer returns the address of a server that sends back what it receives.
func echoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

func newProxiedConn(t *testing.T, s Settings) (*Proxy, net.Conn) {
	t.Helper()
	p, err := Listen("127.0.0.1:0", echoServer(t), s, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, dial(t, p)
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// roundTrip sends the bytes and returns how long the echo took.
func roundTrip(t *testing.T, c net.Conn, data []byte) time.Duration {
	t.Helper()
	start := time.Now()
	go func() { _, _ = c.Write(data) }()
	got := make([]byte, len(data))
	if _, err := io.ReadFull(c, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, data) {
		t.Fatal("echoed data differs from the data sent")
	}
	return time.Since(start)
}

// Guards against links that are faster than set, or that lose or reorder data.
func TestDelayAndRate(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789abcdef!"), 20_000)
	for name, c := range map[string]struct {
		s    Settings
		size int
		min  time.Duration
		max  time.Duration
	}{
		"none":   {Settings{}, len(data), 0, 2 * time.Second},
		"delay":  {Settings{DelayMS: 20, DelayMicros: 500}, 10, 41 * time.Millisecond, time.Second},
		"jitter": {Settings{DelayMS: 5, JitterMS: 20}, len(data), 10 * time.Millisecond, 4 * time.Second},
		"rate":   {Settings{BytesPerSecond: 200_000}, 40_000, 200 * time.Millisecond, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			_, conn := newProxiedConn(t, c.s)
			if d := roundTrip(t, conn, data[:c.size]); d < c.min || d > c.max {
				t.Errorf("round trip took %v, want %v to %v", d, c.min, c.max)
			}
		})
	}
}

// Guards against a one-way stall that delivers data before it ends, loses data or
// closes the connection.
func TestOneWayStalls(t *testing.T) {
	for _, s := range []Settings{{StallForward: true}, {StallBackward: true}} {
		p, c := newProxiedConn(t, Settings{})
		roundTrip(t, c, []byte("before"))
		if err := p.Set(s); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("during")); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, err := c.Read(make([]byte, 10)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("%+v: read %d bytes, %v", s, n, err)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if err := p.Set(Settings{}); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 6)
		if _, err := io.ReadFull(c, got); err != nil || string(got) != "during" {
			t.Errorf("%+v: after the stall got %q, %v", s, got, err)
		}
	}
}

// Guards against cuts that the peer sees as a regular end of the stream, and
// against regular ends that it sees as a reset.
func TestCutsAndEnds(t *testing.T) {
	p, c := newProxiedConn(t, Settings{})
	roundTrip(t, c, []byte("x"))
	p.Cut()
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("cut connection: got %v, want a reset", err)
	}
	c = dial(t, p)
	_, _ = c.Write([]byte("last"))
	_ = c.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(c); err != nil || string(got) != "last" {
		t.Errorf("half-closed connection: got %q, %v", got, err)
	}
	if err := p.Set(Settings{CutsPerSecond: 50}); err != nil {
		t.Fatal(err)
	}
	c = dial(t, p)
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("random cut: got %v", err)
	}
	if err := p.Set(Settings{RefuseNew: true}); err != nil {
		t.Fatal(err)
	}
	// The reset may arrive before or after the dial has returned.
	if c, err := net.Dial("tcp", p.Address()); err == nil {
		defer c.Close()
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("refused connection is open")
		}
	}
}

// Guards against accepting unknown setting names and invalid values.
func TestAdmin(t *testing.T) {
	p, _ := newProxiedConn(t, Settings{})
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	defer http.DefaultClient.CloseIdleConnections()
	for body, want := range map[string]int{`{"delay_ms": 7}`: 200, `{"delay": 7}`: 400, `{"jitter_ms": -1}`: 400} {
		resp, err := http.Post(s.URL+"/admin/faults", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", body, resp.StatusCode, want)
		}
	}
	if got := p.Settings(); got != (Settings{DelayMS: 7}) {
		t.Errorf("settings: %+v", got)
	}
}

// TestSilence guards against links that end, or deliver again, after they were silenced, and against new ones that don't work.
func TestSilence(t *testing.T) {
	p, c := newProxiedConn(t, Settings{})
	roundTrip(t, c, []byte("before"))
	if n := p.Silence(); n != 1 {
		t.Fatalf("%d connections were silenced, want 1", n)
	}
	if _, err := c.Write([]byte("after")); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 10)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	fresh := dial(t, p)
	defer fresh.Close()
	roundTrip(t, fresh, []byte("new"))
}
