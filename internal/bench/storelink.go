package bench

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/agateyard/agateyard/internal/platform"
)

// maxStoreBody bounds a request to the store: a value of 1 MB in base64.
const maxStoreBody = 2 << 20

// storeLink passes the calls of one entry process on to the platform, counts
// their bytes, and can hold back watches of the configuration.
type storeLink struct {
	target   string
	stall    atomic.Bool
	read     atomic.Int64 // bytes from the entry process
	written  atomic.Int64
	listener net.Listener
	server   *http.Server
	client   *http.Client
}

func newStoreLink(target string) (*storeLink, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeLink{target: target, listener: l, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(countingListener{Listener: l, link: s}) }()
	return s, nil
}

func (s *storeLink) url() string { return "http://" + s.listener.Addr().String() }

func (s *storeLink) close() { _ = s.server.Close() }

func (s *storeLink) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxStoreBody))
	if err != nil {
		return
	}
	if s.stall.Load() && r.URL.Path == platform.PathWatch && bytes.Contains(body, []byte(`"config/`)) {
		<-r.Context().Done()
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, s.target+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header = r.Header.Clone()
	resp, err := s.client.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	link *storeLink
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, link: l.link}, err
}

type countingConn struct {
	net.Conn
	link *storeLink
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.link.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.link.written.Add(int64(n))
	return n, err
}
