package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/agateyard/agateyard/internal/gateway"
)

const (
	// callTimeout bounds one HTTP call. It exceeds the time that the server takes to
	// settle a change.
	callTimeout = 12 * time.Second
	// maxAnswerBytes bounds an answer; a list of 10,000 jobs stays below it.
	maxAnswerBytes = 64 << 20

	retryFirst = 100 * time.Millisecond
	retryMax   = 2 * time.Second
)

// client calls the operator API.
type client struct {
	base string
	http *http.Client
}

func newClient(base string) (*client, error) {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &usageError{fmt.Errorf("--server %q is no http or https URL", base)}
	}
	return &client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Timeout: callTimeout}}, nil
}

// call is one HTTP request.
type call struct {
	method  string
	path    string
	query   url.Values
	headers map[string]string
	body    []byte
	media   string
}

// do sends the call and decodes a 2xx answer. Errors are *gateway.Problem for an
// answer of the server and *unreachableError without one.
func (c *client) do(ctx context.Context, call call, into any) error {
	target := c.base + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return &usageError{err}
	}
	req.Header.Set("Accept", "application/json")
	if call.media != "" {
		req.Header.Set("Content-Type", call.media)
	}
	for name, value := range call.headers {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return &unreachableError{error: err, notSent: !connected}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &unreachableError{error: fmt.Errorf("answer cut off: %w", err)}
	}
	if resp.StatusCode/100 != 2 {
		return problemOf(resp, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &unreachableError{error: fmt.Errorf("answer is not valid: %w", err)}
	}
	return nil
}

// problemOf reads the problem of an answer. An answer of something else on the
// way, such as a load balancer, becomes a problem with its status.
func problemOf(resp *http.Response, body []byte) *gateway.Problem {
	p := &gateway.Problem{}
	if json.Unmarshal(body, p) != nil || p.Status == 0 {
		text := strings.TrimSpace(string(body[:min(len(body), 200)]))
		p = &gateway.Problem{Title: http.StatusText(resp.StatusCode), Detail: text}
	}
	p.Status = resp.StatusCode
	return p
}

// change sends a change until its outcome is known or the context ends. The same
// identifier is sent each time, so that it is applied once.
func (c *client) change(ctx context.Context, request call, id string, revision uint64) (gateway.AppliedChange, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = retryFirst, retryMax
	wait.Reset()
	request.headers[gateway.HeaderIdempotencyKey] = id
	request.headers["If-Match"] = `"` + strconv.FormatUint(revision, 10) + `"`
	uncertain := false
	for {
		var applied gateway.AppliedChange
		err := c.do(ctx, request, &applied)
		again, lost := retryable(err)
		if !again {
			return applied, err
		}
		uncertain = uncertain || lost
		select {
		case <-ctx.Done():
			if uncertain {
				err = &uncertainError{change: id, revision: revision, last: err}
			}
			return applied, err
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// retryable reports whether the change is to be sent again, and whether the
// failed sending may have been applied.
func retryable(err error) (again, lost bool) {
	switch e := err.(type) {
	case *unreachableError:
		return true, !e.notSent // without a connection nothing was sent, also when the time ran out while connecting
	case *gateway.Problem:
		switch e.Status {
		case http.StatusServiceUnavailable:
			return true, e.Outcome != "not-run"
		case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
			return true, true
		}
	}
	return false, false
}
