package endpoint_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/endpoint"
)

// Guards against ErrNotSent for a command of which any byte arrived, and against
// sending a command twice, if the endpoint closes the connection at any byte of
// the request.
func TestCloseWhileRequestIsRead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bytesRead := rapid.IntRange(0, 600).Draw(rt, "bytes read")
		withReset := rapid.Bool().Draw(rt, "reset")
		var received atomic.Int64
		var commands atomic.Int64
		s := newRawServer(t, func(c net.Conn) {
			n, _ := io.ReadFull(c, make([]byte, bytesRead))
			received.Add(int64(n))
			if n > 0 {
				commands.Add(1)
			}
			if withReset {
				resetConn(c)
				return
			}
			// Bytes in the receive buffer have reached the endpoint too.
			_ = c.(*net.TCPConn).CloseWrite()
			rest, _ := io.Copy(io.Discard, c)
			received.Add(rest)
		})
		defer s.close()
		c := client(t, s.address(), nil)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := c.Start(ctx, startRequest(1))
		s.close()
		switch {
		case errors.Is(err, endpoint.ErrNotSent):
			if received.Load() != 0 {
				rt.Fatalf("reported not sent, but %d bytes arrived: %v", received.Load(), err)
			}
		case !errors.Is(err, endpoint.ErrOutcomeUnknown):
			rt.Fatalf("error is neither ErrOutcomeUnknown nor ErrNotSent: %v", err)
		}
		if commands.Load() > 1 {
			rt.Fatalf("command was sent %d times", commands.Load())
		}
	})
}

// Guards against returning a truncated answer as a complete one, if the endpoint
// closes the connection while it writes the answer.
func TestCloseWhileAnswerIsWritten(t *testing.T) {
	const body = `{"answer": "of some length"}`
	fullLength := len(rawAnswer("", body))
	for cut := 0; cut <= fullLength; cut += 3 {
		for _, withReset := range []bool{false, true} {
			s := newRawServer(t, func(c net.Conn) {
				_, x, err := readRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				raw := rawAnswer(x, body)
				_, _ = c.Write(raw[:len(raw)-fullLength+cut])
				if withReset {
					resetConn(c)
				}
			})
			_, err := client(t, s.address(), nil).Start(shortContext(t), startRequest(cut))
			if !errors.Is(err, endpoint.ErrOutcomeUnknown) && cut < fullLength {
				t.Errorf("cut %d bytes before the end, reset %v: got %v, want ErrOutcomeUnknown", fullLength-cut, withReset, err)
			}
			s.close()
		}
	}
}

// Guards against accepting replies whose length can't be checked, that are too
// long, or that aren't answers of a runner.
func TestInvalidAnswers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + endpoint.HeaderExchange + ": %s\r\n" + endpoint.HeaderRunMS + ": 5\r\n"
	for name, format := range map[string]string{
		"until close":       head + "\r\nanswer",
		"chunked":           head + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"too long":          head + "Content-Length: 5000\r\n\r\n",
		"no run time":       "HTTP/1.1 200 OK\r\n" + endpoint.HeaderExchange + ": %s\r\nContent-Length: 6\r\n\r\nanswer",
		"gateway error":     "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\nanswer%.0s",
		"unknown refusal":   "HTTP/1.1 409 Conflict\r\n" + endpoint.HeaderExchange + ": %s\r\n" + endpoint.HeaderRefusal + ": odd\r\nContent-Length: 0\r\n\r\n",
		"redirect":          "HTTP/1.1 307 Temporary Redirect\r\n" + endpoint.HeaderExchange + ": %s\r\nLocation: /v1/attempts/2\r\nContent-Length: 0\r\n\r\n",
		"not HTTP":          "ok %s\r\n\r\n",
		"of other exchange": "HTTP/1.1 202 Accepted\r\n" + endpoint.HeaderExchange + ": other%.0s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(c net.Conn) {
				if _, x, err := readRequest(bufio.NewReader(c)); err == nil {
					fmt.Fprintf(c, format, x)
				}
			})
			c := client(t, s.address(), func(o *endpoint.Options) { o.MaxAnswerBytes = 1000 })
			if _, err := c.Start(shortContext(t), startRequest(1)); !errors.Is(err, endpoint.ErrOutcomeUnknown) {
				t.Errorf("got %v, want ErrOutcomeUnknown", err)
			}
		})
	}
}

// Guards against returning the answer to an earlier command, delivered late or
// twice on a reused connection, as the answer to the next command.
func TestLateAnswerOnReusedConnection(t *testing.T) {
	s := newRawServer(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		_, first, err := readRequest(r)
		if err != nil {
			return
		}
		_, _ = c.Write(rawAnswer(first, "first"))
		if _, second, err := readRequest(r); err == nil {
			_, _ = c.Write(rawAnswer(first, "first"))
			_, _ = c.Write(rawAnswer(second, "second"))
		}
	})
	c := client(t, s.address(), nil)
	ctx := shortContext(t)
	if r, err := c.Start(ctx, startRequest(1)); err != nil || string(r.Answer.Body) != "first" {
		t.Fatalf("first start: %q, %v", r.Answer.Body, err)
	}
	if r, err := c.Start(ctx, startRequest(2)); !errors.Is(err, endpoint.ErrOutcomeUnknown) {
		t.Errorf("second start: got %q, %v, want ErrOutcomeUnknown", r.Answer.Body, err)
	}
	if r, err := c.Start(ctx, startRequest(3)); err != nil || string(r.Answer.Body) != "first" {
		t.Errorf("third start must use a new connection: %q, %v", r.Answer.Body, err)
	}
}

// Guards against http.Transport sending a command again after an idle connection
// broke, and against ErrNotSent for a command that arrived.
func TestBrokenIdleConnections(t *testing.T) {
	var mu sync.Mutex
	arrived := map[string]int{}
	var conns atomic.Uint64
	s := newRawServer(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		rng := rand.New(rand.NewPCG(1, conns.Add(1)))
		for n := 0; ; n++ {
			path, x, err := readRequest(r)
			if err != nil {
				return
			}
			mu.Lock()
			arrived[path]++
			mu.Unlock()
			action := rng.IntN(4)
			if action == 3 && n > 0 {
				return // closes a reused connection without answering the request
			}
			_, _ = c.Write(rawAnswer(x, "answer"))
			switch action {
			case 1:
				resetConn(c)
				return
			case 2:
				time.Sleep(time.Millisecond)
				return
			}
		}
	})
	c := client(t, s.address(), nil)
	ctx := shortContext(t)
	outcomes := map[string]int{}
	for i := range 2000 {
		req := startRequest(i)
		_, err := c.Start(ctx, req)
		mu.Lock()
		n := arrived["/v1/attempts/"+string(req.Attempt)]
		mu.Unlock()
		switch {
		case err == nil && n == 1:
			outcomes["answered"]++
		case errors.Is(err, endpoint.ErrOutcomeUnknown) && n <= 1:
			outcomes["unknown"]++
		case errors.Is(err, endpoint.ErrNotSent) && n == 0:
			outcomes["not sent"]++
		default:
			t.Fatalf("start %d arrived %d times and returned %v", i, n, err)
		}
	}
	t.Logf("outcomes: %v", outcomes)
	if outcomes["answered"] < 1000 {
		t.Errorf("only %d of 2000 answered", outcomes["answered"])
	}
}

// Guards against ErrOutcomeUnknown if nothing can have been sent: the owner would
// keep the capacity reserved until a report or the expiry of the lease resolves
// the outcome.
func TestNotSent(t *testing.T) {
	ctx := shortContext(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := ln.Addr().String()
	ln.Close()
	if _, err := client(t, refused, nil).Start(ctx, startRequest(1)); !errors.Is(err, endpoint.ErrNotSent) {
		t.Errorf("connection refused: got %v, want ErrNotSent", err)
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	var arrived atomic.Int64
	hang := make(chan struct{})
	s := newRawServer(t, func(c net.Conn) {
		if _, _, err := readRequest(bufio.NewReader(c)); err == nil {
			arrived.Add(1)
		}
		<-hang
	})
	defer close(hang)
	c := client(t, s.address(), func(o *endpoint.Options) { o.MaxConnections, o.ControlConnections = 2, 1 })
	if _, err := c.Start(cancelled, startRequest(1)); !errors.Is(err, endpoint.ErrNotSent) {
		t.Errorf("context cancelled before the call: got %v, want ErrNotSent", err)
	}
	// The first start uses the only connection for starts, so the second is never sent. It is given up earlier: at the end of the first
	// one the connection becomes free.
	const limit = 300 * time.Millisecond
	short, cancelShort := context.WithTimeout(ctx, limit)
	defer cancelShort()
	shorter, cancelShorter := context.WithTimeout(ctx, limit/3)
	defer cancelShorter()
	errs := make(chan error)
	go func() {
		_, err := c.Start(short, startRequest(2))
		errs <- err
	}()
	for arrived.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := c.Start(shorter, startRequest(3)); !errors.Is(err, endpoint.ErrNotSent) {
		t.Errorf("no connection free: got %v, want ErrNotSent", err)
	}
	if err := <-errs; !errors.Is(err, endpoint.ErrOutcomeUnknown) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("timeout after sending: got %v, want ErrOutcomeUnknown", err)
	}
	if n := arrived.Load(); n != 1 {
		t.Errorf("%d commands arrived, want 1", n)
	}
}

// Guards against mapping a refusal code to the wrong error, and against mistaking
// answers for refusals.
func TestRefusals(t *testing.T) {
	for code, want := range map[endpoint.RefusalCode]error{
		"stale-token": endpoint.ErrStaleToken, "repeated": endpoint.ErrRepeated, "expired": endpoint.ErrExpired,
		"no-room": endpoint.ErrNoCapacity, "leaving": endpoint.ErrLeaving, "bad-request": endpoint.ErrBadRequest,
		"cancelled": endpoint.ErrCancelled, "no-lease": endpoint.ErrNoLease, "": nil,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(endpoint.HeaderExchange, r.Header.Get(endpoint.HeaderExchange))
			if code != "" {
				w.Header().Set(endpoint.HeaderRefusal, string(code))
			} else {
				// An application may return 409 itself; that is an answer, not a refusal.
				w.Header().Set(endpoint.HeaderRunMS, "7")
			}
			w.WriteHeader(http.StatusConflict)
		}))
		r, err := client(t, s.URL[len("http://"):], nil).Start(shortContext(t), startRequest(1))
		if !errors.Is(err, want) {
			t.Errorf("code %q: got %v, want %v", code, err, want)
		}
		if code == "" && r.Answer.Status != http.StatusConflict {
			t.Errorf("answer of the application has status %d", r.Answer.Status)
		}
		s.Close()
	}
}

// Guards against opening more connections than the options allow, and against
// session calls that wait for running requests.
func TestConnectionLimit(t *testing.T) {
	var open, maxOpen atomic.Int64
	release := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/attempts/{attempt}", func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.Header().Set(endpoint.HeaderExchange, r.Header.Get(endpoint.HeaderExchange))
		w.Header().Set(endpoint.HeaderRunMS, "1")
		_, _ = io.Copy(w, r.Body)
	})
	mux.HandleFunc("POST /v1/session", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(endpoint.HeaderExchange, r.Header.Get(endpoint.HeaderExchange))
		_, _ = w.Write([]byte(`{"instance":"i"}`))
	})
	s := httptest.NewUnstartedServer(mux)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			n := open.Add(1)
			for m := maxOpen.Load(); n > m && !maxOpen.CompareAndSwap(m, n); m = maxOpen.Load() {
			}
		case http.StateClosed:
			open.Add(-1)
		}
	}
	s.Start()
	defer s.Close()
	c := client(t, s.URL[len("http://"):], func(o *endpoint.Options) { o.MaxConnections, o.ControlConnections = 10, 2 })
	ctx := shortContext(t)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			req := startRequest(i)
			r, err := c.Start(ctx, req)
			if err != nil || !bytes.Equal(r.Answer.Body, req.Body) {
				t.Errorf("start %d: %q, %v", i, r.Answer.Body, err)
			}
		})
	}
	for open.Load() < 8 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		if _, err := c.Session(ctx, endpoint.SessionRequest{Token: 1, Owner: "a"}); err != nil {
			t.Fatalf("session while all starts are blocked: %v", err)
		}
	}
	close(release)
	wg.Wait()
	if m := maxOpen.Load(); m > 10 {
		t.Errorf("%d concurrent connections, want at most 10", m)
	}
}

// Guards against accepting options that leave no connection for starts or sessions.
func TestOptionsValidate(t *testing.T) {
	if err := endpoint.DefaultOptions().Validate(); err != nil {
		t.Errorf("default options: %v", err)
	}
	if err := (endpoint.Options{}).Validate(); err == nil {
		t.Error("zero options are accepted")
	}
}

// BenchmarkStart measures the overhead of the client against a plain server.
func BenchmarkStart(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(endpoint.HeaderExchange, r.Header.Get(endpoint.HeaderExchange))
		w.Header().Set(endpoint.HeaderRunMS, "1")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}))
	defer s.Close()
	c := client(b, s.URL[len("http://"):], nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, err := c.Start(context.Background(), startRequest(i)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSession measures a session call with a worker that runs four tasks,
// and the bytes that it sends and receives.
func BenchmarkSession(b *testing.B) {
	var wire atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(endpoint.HeaderExchange, r.Header.Get(endpoint.HeaderExchange))
		reply := endpoint.SessionReply{Instance: "6e107c55-1287-404b-a674-7834284cf798", Kind: "worker"}
		for i := range 4 {
			reply.Running = append(reply.Running, endpoint.RunningAttempt{Attempt: startRequest(i).Attempt, Template: "kalnins/cut-list"})
		}
		raw, _ := json.Marshal(reply)
		_, _ = w.Write(raw)
	}))
	s.Listener = countingListener{s.Listener, &wire}
	s.Start()
	defer s.Close()
	c := client(b, s.URL[len("http://"):], nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Session(context.Background(), endpoint.SessionRequest{Token: 1, Owner: "a"}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// BenchmarkClientMemory measures the memory of an idle client. A pool owner has
// one client per endpoint.
func BenchmarkClientMemory(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		endpoint.NewHTTPClient("127.0.0.1:1", endpoint.DefaultOptions())
	}
}
