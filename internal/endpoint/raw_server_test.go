package endpoint_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// seed makes the rapid tests reproducible; -rapid.seed overrides it.
const seed = "20261203"

func TestMain(m *testing.M) {
	fmt.Println("rapid seed", seed)
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// rawServer passes each accepted connection to a function that controls every
// byte of the reply.
type rawServer struct {
	ln     net.Listener
	script func(c net.Conn)
	wg     sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

func newRawServer(t *testing.T, script func(c net.Conn)) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{ln: ln, script: script}
	s.wg.Add(1)
	go s.accept()
	t.Cleanup(s.close)
	return s
}

func (s *rawServer) accept() {
	defer s.wg.Done()
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer c.Close()
			s.script(c)
		}()
	}
}

func (s *rawServer) close() {
	s.ln.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *rawServer) address() string { return s.ln.Addr().String() }

// client returns a client that is closed at the end of the test.
func client(t interface{ Cleanup(func()) }, address string, change func(*endpoint.Options)) *endpoint.HTTPClient {
	opts := endpoint.DefaultOptions()
	if change != nil {
		change(&opts)
	}
	c := endpoint.NewHTTPClient(address, opts)
	t.Cleanup(c.Close)
	return c
}

func startRequest(n int) endpoint.StartRequest {
	id := model.AttemptID(fmt.Sprintf("1.%016x.0.%016x", n, n))
	return endpoint.StartRequest{
		Attempt: id, Token: 1, StartBeforeMS: 30_000, Template: "kalnins/cut-list",
		RunLimit: time.Minute, ContentType: "application/json", Body: fmt.Appendf(nil, `{"echo":"request-%d"}`, n),
	}
}

// readRequest reads a complete request and returns its path and exchange identifier.
func readRequest(r *bufio.Reader) (path, exchange string, err error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", "", err
	}
	return req.URL.Path, req.Header.Get(endpoint.HeaderExchange), nil
}

// rawAnswer returns the bytes of a runner's answer.
func rawAnswer(exchange, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 5\r\nContent-Length: %d\r\n\r\n%s",
		endpoint.HeaderExchange, exchange, endpoint.HeaderRunMS, len(body), body)
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func shortContext(t interface{ Cleanup(func()) }) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}
