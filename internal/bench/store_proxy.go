package bench

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/agateyard/agateyard/internal/platform"
)

// maxStoreBody limits the body of a request to the store. It fits a 1 MB value in
// base64.
const maxStoreBody = 2 << 20

// storeProxy forwards the calls of one entry process to the platform, counts their
// bytes, and can stall configuration watches.
type storeProxy struct {
	target           string
	stallConfigWatch atomic.Bool
	bytesRead        atomic.Int64 // bytes received from the entry process
	bytesWritten     atomic.Int64
	listener         net.Listener
	server           *http.Server
	client           *http.Client
}

func newStoreProxy(target string) (*storeProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeProxy{target: target, listener: l, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(countingListener{Listener: l, proxy: s}) }()
	return s, nil
}

func (s *storeProxy) url() string { return "http://" + s.listener.Addr().String() }

func (s *storeProxy) close() { _ = s.server.Close() }

func (s *storeProxy) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxStoreBody))
	if err != nil {
		return
	}
	if s.stallConfigWatch.Load() && r.URL.Path == platform.PathWatch && bytes.Contains(body, []byte(`"config/`)) {
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

// countingListener counts the bytes on the connections that it accepts.
type countingListener struct {
	net.Listener
	proxy *storeProxy
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, proxy: l.proxy}, err
}

type countingConn struct {
	net.Conn
	proxy *storeProxy
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.proxy.bytesRead.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.proxy.bytesWritten.Add(int64(n))
	return n, err
}
