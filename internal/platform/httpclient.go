package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// ErrBadRequest means that the call was malformed: the platform refused it, or it could
// not be encoded. Nothing was written.
var ErrBadRequest = errors.New("malformed call to the platform")

// maxReplyBytes limits the size of a reply. A page or set of changes has about
// 8 MiB of values at most, which are 11 MiB in base64. The VM list has no limit of its
// own.
const maxReplyBytes = 32 << 20

// HTTPClient is a Store and a VMList over HTTP/JSON. It never retries a call. It
// is safe for concurrent use.
//
// A write fails with ErrUnavailable only if it did not leave this process or the
// platform refused it; once sent, a write without a valid reply fails with
// ErrUncertain. A read without a valid reply fails with ErrUnavailable.
type HTTPClient struct {
	base       string
	http       *http.Client
	timeout    time.Duration
	watchGrace time.Duration
	writes     *rate.Limiter
	reads      *rate.Limiter
	metrics    clientMetrics
	vms        vmCache
}

var (
	_ Store  = (*HTTPClient)(nil)
	_ VMList = (*HTTPClient)(nil)
)

// NewHTTPClient returns a client of the platform at the base URL, e.g. "http://127.0.0.1:7400".
func NewHTTPClient(baseURL string, opts ...Option) *HTTPClient {
	c := &HTTPClient{
		base:       strings.TrimSuffix(baseURL, "/"),
		http:       &http.Client{Transport: newTransport()},
		timeout:    DefaultTimeout,
		watchGrace: DefaultWatchGrace,
		writes:     newLimiter(DefaultWritesPerSecond),
		reads:      newLimiter(DefaultReadsPerSecond),
		metrics:    newClientMetrics(),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *HTTPClient) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.call(ctx, CallGet, PathGet, c.timeout, GetRequest{Key: key}, &e)
	return e, err
}

// List implements Store.
func (c *HTTPClient) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	var p Page
	err := c.call(ctx, CallList, PathList, c.timeout, ListRequest{Prefix: prefix, After: after, Limit: limit}, &p)
	return p, err
}

// Put implements Store.
func (c *HTTPClient) Put(ctx context.Context, key string, value []byte, opts PutOptions) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	var reply PutReply
	req := PutRequest{Key: key, Value: value, IfVersion: opts.IfVersion, Lease: opts.Lease}
	err := c.call(ctx, CallPut, PathPut, c.timeout, req, &reply)
	return reply.Version, err
}

// Delete implements Store.
func (c *HTTPClient) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return c.call(ctx, CallDelete, PathDelete, c.timeout, DeleteRequest{Key: key, IfVersion: ifVersion}, nil)
}

// GrantLease implements Store.
func (c *HTTPClient) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var reply LeaseBody
	err := c.call(ctx, CallGrant, PathGrant, c.timeout, GrantRequest{TTLMS: ttl.Milliseconds()}, &reply)
	return reply.Lease, err
}

// KeepAlive implements Store.
func (c *HTTPClient) KeepAlive(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, CallKeepAlive, PathKeepAlive, c.timeout, LeaseBody{Lease: lease}, nil)
}

// Revoke implements Store.
func (c *HTTPClient) Revoke(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, CallRevoke, PathRevoke, c.timeout, LeaseBody{Lease: lease}, nil)
}

// Watch implements Store.
func (c *HTTPClient) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	c.metrics.pending.Inc()
	defer c.metrics.pending.Dec()
	var ch Changes
	req := WatchRequest{Prefix: prefix, After: after, WaitMS: wait.Milliseconds()}
	err := c.call(ctx, CallWatch, PathWatch, wait+c.watchGrace, req, &ch)
	return ch, err
}

// VMs implements VMList.
func (c *HTTPClient) VMs(ctx context.Context) ([]VM, error) {
	reply := c.vms.request()
	if err := c.call(ctx, CallVMs, PathVMs, c.timeout, nil, &reply); err != nil {
		return nil, err
	}
	return c.vms.store(reply), nil
}

// call performs one call with a timeout and updates the metrics.
func (c *HTTPClient) call(ctx context.Context, kind Call, path string, limit time.Duration, req, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := time.Now()
	err := c.sendRateLimited(ctx, kind, path, req, reply)
	c.metrics.calls.WithLabelValues(string(kind), resultLabel(err)).Inc()
	if kind != CallWatch {
		c.metrics.duration.WithLabelValues(string(kind)).Observe(time.Since(start).Seconds())
	}
	return err
}

func (c *HTTPClient) sendRateLimited(ctx context.Context, kind Call, path string, req, reply any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%s: %w: %w", kind, ErrUnavailable, err)
	}
	if err := c.waitRateLimit(ctx, kind); err != nil {
		return fmt.Errorf("%s: client rate limit: %w: %w", kind, ErrThrottled, err)
	}
	return c.send(ctx, kind, path, req, reply)
}

// waitRateLimit waits for the client's rate limiter. Lease renewals are exempt, so
// that a process with many writes does not lose its lease.
func (c *HTTPClient) waitRateLimit(ctx context.Context, kind Call) error {
	switch {
	case kind == CallKeepAlive:
		return nil
	case kind.Writes():
		return c.writes.Wait(ctx)
	default:
		return c.reads.Wait(ctx)
	}
}

func (c *HTTPClient) send(ctx context.Context, kind Call, path string, req, reply any) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	hreq, err := newRequest(ctx, c.base+path, req)
	if err != nil {
		return fmt.Errorf("%s: %w: %w", kind, ErrBadRequest, err)
	}
	list, conditional := reply.(*vmReply)
	if conditional {
		list.setIfNoneMatch(hreq)
	}
	resp, err := c.http.Do(hreq)
	if err != nil {
		return noReplyError(kind, connected.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return noReplyError(kind, true, err)
	}
	if conditional && list.unchanged(resp) {
		return nil
	}
	return decodeReply(kind, resp.StatusCode, body, reply)
}

func newRequest(ctx context.Context, url string, req any) (*http.Request, error) {
	if req == nil {
		return http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	hreq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	hreq.Header.Set("Content-Type", "application/json")
	return hreq, nil
}

func decodeReply(kind Call, status int, body []byte, reply any) error {
	if status == http.StatusOK {
		if reply == nil {
			return nil
		}
		if err := json.Unmarshal(body, reply); err != nil {
			return noReplyError(kind, true, err)
		}
		return nil
	}
	var e ErrorReply
	if err := json.Unmarshal(body, &e); err != nil {
		return noReplyError(kind, true, fmt.Errorf("status %d without a code", status))
	}
	if err := refusalError(status, e.Code); err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	return noReplyError(kind, true, fmt.Errorf("status %d with code %q", status, e.Code))
}

// noReplyError returns the error of a call that got no valid reply.
func noReplyError(kind Call, sent bool, cause error) error {
	if kind.Writes() && sent {
		return fmt.Errorf("%s: %w: %w", kind, ErrUncertain, cause)
	}
	return fmt.Errorf("%s: %w: %w", kind, ErrUnavailable, cause)
}

func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	if code, _, ok := Refusal(err); ok {
		return string(code)
	}
	return "uncertain"
}
