package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/model"
)

// maxReportBytes is the maximum size of a reply other than an answer. A report
// contains the answers of ended attempts until they are acknowledged.
const maxReportBytes = 64 << 20

// maxHeaderBytes is the maximum size of the headers of a reply.
const maxHeaderBytes = 64 << 10

// HTTPClient is a Client that uses HTTP. Its errors are of type *CallError.
type HTTPClient struct {
	address          string
	opts             Options
	exchangePrefix   string // of the exchange identifiers; unique per client
	exchangeCount    atomic.Uint64
	startTransport   *http.Transport
	controlTransport *http.Transport
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client of the endpoint at the address (ip:port). The
// options must be valid.
func NewHTTPClient(address string, opts Options) *HTTPClient {
	return &HTTPClient{
		address:          address,
		opts:             opts,
		exchangePrefix:   uuid.NewString(),
		startTransport:   newTransport(opts, opts.MaxConnections-opts.ControlConnections),
		controlTransport: newTransport(opts, opts.ControlConnections),
	}
}

func newTransport(opts Options, connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &writeTrackingConn{Conn: c}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        opts.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// Transparent decompression would hide the length of the answer.
		DisableCompression: true,
	}
}

// Session implements Client.
func (c *HTTPClient) Session(ctx context.Context, req SessionRequest) (SessionReply, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return SessionReply{}, c.callError("session", ErrBadRequest, err)
	}
	cmd := command{name: "session", path: "/v1/session", contentType: "application/json", body: body, maxReply: maxReportBytes}
	var reply SessionReply
	err = c.callJSON(ctx, cmd, &reply)
	return reply, err
}

// Start implements Client. It returns ErrNotSent only if no byte of the command
// can have reached the endpoint, and never sends a command twice.
func (c *HTTPClient) Start(ctx context.Context, req StartRequest) (StartReply, error) {
	cmd, err := startCommand(req)
	if err != nil {
		return StartReply{}, c.callError("start", ErrBadRequest, err)
	}
	cmd.maxReply = c.opts.MaxAnswerBytes
	r, err := c.call(ctx, c.startTransport, cmd)
	if err != nil {
		return StartReply{}, err
	}
	runMSHeader := r.header.Get(HeaderRunMS)
	if runMSHeader == "" && r.status == http.StatusAccepted {
		return StartReply{Accepted: true}, nil
	}
	runMS, err := strconv.ParseInt(runMSHeader, 10, 64)
	if err != nil {
		return StartReply{}, c.callError(cmd.name, ErrOutcomeUnknown, fmt.Errorf("reply with status %d has no run time header, so it is not an answer", r.status))
	}
	answer := model.Answer{Status: r.status, ContentType: r.header.Get("Content-Type"), Body: r.body}
	return StartReply{Answer: answer, RunMS: runMS}, nil
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, token uint64, attempt model.AttemptID) (bool, error) {
	var reply CancelReply
	err := c.callJSON(ctx, attemptCommand("cancel", attempt, token), &reply)
	return reply.Started, err
}

// Checkpoint implements Client.
func (c *HTTPClient) Checkpoint(ctx context.Context, token uint64, attempt model.AttemptID) error {
	return c.callJSON(ctx, attemptCommand("checkpoint", attempt, token), nil)
}

// Throttle implements Client.
func (c *HTTPClient) Throttle(ctx context.Context, token uint64, attempt model.AttemptID, on bool) error {
	cmd := attemptCommand("throttle", attempt, token)
	cmd.query = "on=" + strconv.FormatBool(on)
	return c.callJSON(ctx, cmd, nil)
}

// Close implements Client. Commands in progress continue.
func (c *HTTPClient) Close() {
	c.startTransport.CloseIdleConnections()
	c.controlTransport.CloseIdleConnections()
}

// command is the content of one HTTP request.
type command struct {
	name        string // for error messages
	path        string // URL-escaped
	query       string
	contentType string
	header      http.Header
	body        []byte
	maxReply    int64 // in bytes
}

func startCommand(req StartRequest) (command, error) {
	if req.Attempt == "" {
		return command{}, errors.New("attempt identifier is empty")
	}
	resources, err := json.Marshal(req.Resources)
	if err != nil {
		return command{}, err
	}
	cmd := attemptCommand("", req.Attempt, req.Token)
	cmd.name = "start"
	cmd.contentType = req.ContentType
	cmd.body = req.Body
	cmd.header.Set(HeaderStartBefore, strconv.FormatInt(req.StartBeforeMS, 10))
	cmd.header.Set(HeaderTemplate, req.Template)
	cmd.header.Set(HeaderResources, string(resources))
	cmd.header.Set(HeaderRunLimit, strconv.FormatInt(req.RunLimit.Milliseconds(), 10))
	if req.Instance != "" {
		cmd.header.Set(HeaderInstance, req.Instance)
	}
	return cmd, nil
}

func attemptCommand(name string, attempt model.AttemptID, token uint64) command {
	path := "/v1/attempts/" + url.PathEscape(string(attempt))
	if name != "" {
		path += "/" + name
	}
	header := http.Header{}
	header.Set(HeaderToken, strconv.FormatUint(token, 10))
	return command{name: name, path: path, header: header, maxReply: maxReportBytes}
}

// reply is a complete HTTP reply to a command, of any status, that is not a refusal.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// callJSON sends a command over the control connections and decodes the JSON
// reply, unless into is nil.
func (c *HTTPClient) callJSON(ctx context.Context, cmd command, into any) error {
	r, err := c.call(ctx, c.controlTransport, cmd)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return c.callError(cmd.name, ErrOutcomeUnknown, fmt.Errorf("status %d", r.status))
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return c.callError(cmd.name, ErrOutcomeUnknown, err)
	}
	return nil
}

// call sends the command and returns the complete reply. If a reused idle
// connection turns out to be broken before any byte of the command was written to
// it, the command is sent on another connection.
func (c *HTTPClient) call(ctx context.Context, tr *http.Transport, cmd command) (reply, error) {
	for {
		r, retry, err := c.try(ctx, tr, cmd)
		if retry && ctx.Err() == nil {
			continue
		}
		return r, err
	}
}

// try sends the command once. The transport must not retry the request by
// itself, so the request has no GetBody and no Idempotency-Key header.
func (c *HTTPClient) try(ctx context.Context, tr *http.Transport, cmd command) (r reply, retry bool, err error) {
	x := &exchange{id: c.exchangePrefix + "-" + strconv.FormatUint(c.exchangeCount.Add(1), 10)}
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, x.trace()), cmd, x.id)
	if err != nil {
		return reply{}, false, c.callError(cmd.name, ErrNotSent, err)
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		sent, reused := x.abort()
		if sent {
			return reply{}, false, c.callError(cmd.name, ErrOutcomeUnknown, err)
		}
		return reply{}, reused, c.callError(cmd.name, ErrNotSent, err)
	}
	defer resp.Body.Close()
	r, err = readReply(resp, x.id, cmd.maxReply)
	if err != nil {
		// The connection may still contain bytes of this or another reply.
		x.abort()
		return reply{}, false, c.callError(cmd.name, ErrOutcomeUnknown, err)
	}
	if code := r.header.Get(HeaderRefusal); code != "" {
		return reply{}, false, c.refusalError(cmd.name, RefusalCode(code), r.body)
	}
	return r, false, nil
}

func (c *HTTPClient) newRequest(ctx context.Context, cmd command, exchangeID string) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: c.address, RawQuery: cmd.query}
	path, err := url.PathUnescape(cmd.path)
	if err != nil {
		return nil, err
	}
	u.Path, u.RawPath = path, cmd.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), nil)
	if err != nil {
		return nil, err
	}
	for k, v := range cmd.header {
		req.Header[k] = v
	}
	req.Header.Set(HeaderExchange, exchangeID)
	if cmd.contentType != "" {
		req.Header.Set("Content-Type", cmd.contentType)
	}
	if len(cmd.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(cmd.body))
		req.ContentLength = int64(len(cmd.body))
	}
	return req, nil
}

// readReply reads the complete reply and checks that it belongs to the exchange.
func readReply(resp *http.Response, exchangeID string, limit int64) (reply, error) {
	if got := resp.Header.Get(HeaderExchange); got != exchangeID {
		return reply{}, fmt.Errorf("reply belongs to exchange %q, want %q", got, exchangeID)
	}
	if resp.ContentLength < 0 {
		return reply{}, errors.New("reply has no content length")
	}
	if resp.ContentLength > limit {
		return reply{}, fmt.Errorf("reply of %d bytes exceeds the limit of %d bytes", resp.ContentLength, limit)
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return reply{}, fmt.Errorf("reply truncated: %w", err)
	}
	// The transport reuses the connection only after the body was read up to EOF.
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return reply{}, fmt.Errorf("no EOF after the reply body: %w", err)
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

func (c *HTTPClient) refusalError(name string, code RefusalCode, body []byte) error {
	var b RefusalBody
	if err := json.Unmarshal(body, &b); err != nil || b.Detail == "" {
		return c.callError(name, code.Err(), fmt.Errorf("refused with code %q", code))
	}
	return c.callError(name, code.Err(), errors.New(b.Detail))
}

func (c *HTTPClient) callError(name string, kind, cause error) error {
	return &CallError{Address: c.address, Command: name, Kind: kind, Cause: cause}
}
