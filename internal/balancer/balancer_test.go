package balancer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// backend is a fake entry process that answers with its name.
type backend struct {
	*httptest.Server
	ready   atomic.Bool
	release chan struct{} // /slow blocks until it is closed
	slow    atomic.Int64
}

func newBackend(t *testing.T, name string) *backend {
	b := &backend{release: make(chan struct{})}
	b.ready.Store(true)
	mux := http.NewServeMux()
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !b.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/name", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, name) })
	mux.HandleFunc("/slow", func(w http.ResponseWriter, _ *http.Request) {
		b.slow.Add(1)
		<-b.release
		fmt.Fprint(w, name)
	})
	b.Server = httptest.NewServer(mux)
	t.Cleanup(b.Close)
	return b
}

func (b *backend) address() string { return b.URL[len("http://"):] }

func get(url string) (string, error) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// waitReady waits until exactly the given backends are ready. They are given in the
// order of the options.
func waitReady(t *testing.T, b *Balancer, want ...*backend) {
	t.Helper()
	var addresses []string
	for _, w := range want {
		addresses = append(addresses, w.address())
	}
	for deadline := time.Now().Add(5 * time.Second); !slices.Equal(b.Ready(), addresses); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("backends %v ready, want %v", b.Ready(), addresses)
		}
	}
}

// Guards against uneven distribution, new connections to processes that are dead
// or not ready, and closing the open connections of a process that is no longer
// ready.
func TestBalancer(t *testing.T) {
	first, second, third := newBackend(t, "first"), newBackend(t, "second"), newBackend(t, "third")
	opts := DefaultOptions([]string{first.address(), second.address(), third.address()})
	opts.CheckInterval = 10 * time.Millisecond
	b, err := Listen("127.0.0.1:0", opts)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	url := "http://" + b.Address()
	names := func(n int) map[string]int {
		out := map[string]int{}
		for range n {
			name, err := get(url + "/name")
			if err != nil {
				t.Fatal(err)
			}
			out[name]++
		}
		return out
	}
	if got := names(30); got["first"] != 10 || got["second"] != 10 || got["third"] != 10 {
		t.Errorf("distribution over all backends: %v", got)
	}

	answers := make(chan string, 3)
	for range 3 {
		go func() {
			answer, err := get(url + "/slow")
			answers <- fmt.Sprint(answer, err)
		}()
	}
	for first.slow.Load() != 1 {
		time.Sleep(time.Millisecond)
	}
	first.ready.Store(false)
	waitReady(t, b, second, third)
	if got := names(20); got["first"] != 0 {
		t.Errorf("process that is not ready got %d connections", got["first"])
	}
	close(first.release)
	if got := <-answers; got != "first<nil>" {
		t.Errorf("request in progress at a process that is no longer ready: %s", got)
	}
	close(second.release)
	close(third.release)
	<-answers
	<-answers

	// A dead process is skipped even before the next check.
	second.Close()
	if got := names(20); got["third"] != 20 {
		t.Errorf("distribution after a backend was closed: %v", got)
	}
	first.ready.Store(true)
	waitReady(t, b, first, third)
	if got := names(20); got["first"] != 10 || got["third"] != 10 {
		t.Errorf("distribution after a backend became ready again: %v", got)
	}
	first.ready.Store(false)
	third.ready.Store(false)
	waitReady(t, b)
	if _, err := get(url + "/name"); err == nil {
		t.Error("a connection was served without a ready process")
	}
}

// failingListener fails the first call of Accept, as without free descriptors.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a balancer that accepts no connections any more after one error.
func TestAcceptGoesOnAfterError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &Balancer{opts: DefaultOptions(nil), listener: &failingListener{Listener: listener}, conns: map[net.Conn]struct{}{}}
	ended := make(chan struct{})
	go func() { defer close(ended); b.accept() }()
	select {
	case <-ended:
		t.Error("the balancer accepts no connections after an error")
	case <-time.After(100 * time.Millisecond):
	}
	_ = listener.Close()
	<-ended
}
