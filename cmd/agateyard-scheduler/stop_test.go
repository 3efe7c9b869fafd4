package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/decisionlog"
	"github.com/agateyard/agateyard/platform"
	"github.com/agateyard/agateyard/platform/standin"
)

// stopGrace is the grace period of the processes in these tests.
const stopGrace = 4 * time.Second

// freeAddress returns a loopback address that nobody listens at.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startProcess runs a process whose store never answers a commit of a job, so that submissions wait as long as they may. It
// returns the address for callers; ended is closed when run has returned, after which the process writes its last log lines and
// ends. Signals that the process doesn't handle don't end the test.
func startProcess(t *testing.T) (p *process, address string, ended chan struct{}) {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(signals) })
	store := standin.NewStore()
	store.Put("op/config", map[string]any{"version": 1, "routes": []map[string]any{
		{"name": "q", "host": "h.example", "prefix": "/q/", "service": "s"},
	}})
	store.SetFaults(standin.StoreFaults{CommitDelay: func(key string) time.Duration {
		if strings.HasPrefix(key, "jobs/") {
			return time.Hour
		}
		return 0
	}})
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	address = freeAddress(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("node-name = \"a\"\nzone = \"a\"\n[listen]\nfront = %q\nready = %q\ncontrol = %q\n[limits]\ncpu-share = 0.4\nmemory-mb = 284\n"+
		"[bounds]\ngrace-s = %g\nhold-max-ms = 4000\n[platform]\naddr = %q\n", address, freeAddress(t), freeAddress(t), stopGrace.Seconds(), server.Listener.Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, path)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p = newProcess(settings, decisionlog.NewLimiter(logger, "a"), prometheus.NewRegistry())
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		if err := p.run(); err != nil {
			t.Error(err)
		}
	}()
	for deadline := time.Now().Add(5 * time.Second); !p.node.Ready(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the process is not ready")
		}
	}
	return p, address, ended
}

// TestStopAnswersRequests guards against a stopping process that ends while requests wait for an owner or the store: their
// callers got a closed connection instead of an answer.
func TestStopAnswersRequests(t *testing.T) {
	p, address, ended := startProcess(t)
	const body = `{"spec":"x","steps":[{"count":1,"cpu":100}]}`
	request := func(method, id, body string, length int) string {
		return fmt.Sprintf("%s /q/%s HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 9000\r\nContent-Length: %d\r\n\r\n%s", method, id, length, body)
	}
	whole := func(id string) string { return request("POST", id, body, len(body)) }
	var wg sync.WaitGroup
	stopped := time.Now().Add(100 * time.Millisecond)
	for name, c := range map[string]struct {
		connect, send time.Duration // after SIGTERM
		text          string
		first         bool // another request is answered on the connection before
	}{
		"submission before the stop":            {-90 * time.Millisecond, -80 * time.Millisecond, whole("5c0e7a21d94b36f0"), false},
		"submission after the stop":             {50 * time.Millisecond, 60 * time.Millisecond, whole("5c0e7a21d94b36f1"), false},
		"body that doesn't arrive":              {50 * time.Millisecond, 60 * time.Millisecond, request("POST", "5c0e7a21d94b36f2", body[:9], len(body)), false},
		"last connection":                       {stopGrace/2 + 100*time.Millisecond, stopGrace/2 + 110*time.Millisecond, whole("5c0e7a21d94b36f3"), false},
		"request after the listener was closed": {stopGrace / 2, stopGrace * 7 / 10, whole("5c0e7a21d94b36f4"), false},
		"request in the last moment":            {stopGrace / 2, stopGrace * 81 / 100, whole("5c0e7a21d94b36f5"), false},
		"resubmission in the last moment":       {stopGrace / 2, stopGrace * 81 / 100, whole("5c0e7a21d94b36f0"), false},
		"kept connection":                       {-90 * time.Millisecond, stopGrace * 7 / 10, whole("5c0e7a21d94b36f6"), true},
		"cancellation":                          {stopGrace / 2, stopGrace * 7 / 10, request("DELETE", "5c0e7a21d94b36f0", "", 0), false},
	} {
		wg.Go(func() {
			time.Sleep(time.Until(stopped.Add(c.connect)))
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Errorf("%s: %v", name, err)
				return
			}
			defer conn.Close()
			responses := bufio.NewReader(conn)
			if c.first {
				_, _ = io.WriteString(conn, request("GET", "", "", 0))
				if response, err := http.ReadResponse(responses, nil); err != nil || response.Close {
					t.Errorf("%s: the first answer closes the connection: %v", name, err)
				} else {
					_, _ = io.Copy(io.Discard, response.Body)
				}
			}
			time.Sleep(time.Until(stopped.Add(c.send)))
			if _, err := io.WriteString(conn, c.text); err != nil {
				t.Errorf("%s: %v", name, err)
				return
			}
			response, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Errorf("%s: no answer %s after SIGTERM: %v", name, time.Since(stopped), err)
				return
			}
			defer response.Body.Close()
			if _, err := io.ReadAll(response.Body); err != nil {
				t.Errorf("%s: the answer is cut: %v", name, err)
			}
			if !response.Close && c.send > 0 {
				t.Errorf("%s: the answer of a stopping process keeps the connection", name)
			}
			if response.StatusCode != http.StatusGatewayTimeout && response.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%s: answer %d", name, response.StatusCode)
			}
		})
	}
	for i, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		time.Sleep(time.Until(stopped.Add(time.Duration(i) * 200 * time.Millisecond)))
		if err := syscall.Kill(syscall.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), stopped.Add(stopGrace))
	defer cancel()
	select {
	case <-ended:
		_ = p.front.Close() // as the end of the process would
	case <-ctx.Done():
		t.Error("the process has not ended within its grace period")
	}
	wg.Wait()
}

// TestStopClosesIdleConnections guards against a request that is taken while the process writes its last log lines, which may
// take long, and that is cut off by the end of the process.
func TestStopClosesIdleConnections(t *testing.T) {
	p, address, ended := startProcess(t)
	t.Cleanup(func() { _ = p.front.Close() })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const request = "GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n"
	responses := bufio.NewReader(conn)
	for _, stop := range []bool{false, true} {
		if stop {
			if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			<-ended
		}
		_, _ = io.WriteString(conn, request)
		response, err := http.ReadResponse(responses, nil)
		if (err != nil) != stop {
			t.Fatalf("a request, after the end %v: error %v", stop, err)
		}
		if !stop {
			_, _ = io.Copy(io.Discard, response.Body)
		}
	}
}
