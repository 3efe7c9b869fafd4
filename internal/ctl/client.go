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
	// callTimeout is the time limit for one HTTP call. It exceeds the time limit of the
	// server for applying a change.
	callTimeout = 12 * time.Second
	// maxResponseBytes limits the size of a response. A list of 10,000 jobs is smaller.
	maxResponseBytes = 64 << 20

	retryInitialInterval = 100 * time.Millisecond
	retryMaxInterval     = 2 * time.Second
)

// client calls the operator API.
type client struct {
	baseURL string
	http    *http.Client
}

func newClient(baseURL string) (*client, error) {
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &usageError{fmt.Errorf("--server %q is not an http or https URL", baseURL)}
	}
	return &client{baseURL: strings.TrimSuffix(baseURL, "/"), http: &http.Client{Timeout: callTimeout}}, nil
}

// call is one HTTP request.
type call struct {
	method      string
	path        string
	query       url.Values
	headers     map[string]string
	body        []byte
	contentType string
}

// do sends the call and decodes a 2xx response. The error is a *gateway.Problem for
// any other response and an *unreachableError if there is no valid response.
func (c *client) do(ctx context.Context, call call, into any) error {
	target := c.baseURL + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return &usageError{err}
	}
	req.Header.Set("Accept", "application/json")
	if call.contentType != "" {
		req.Header.Set("Content-Type", call.contentType)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &unreachableError{error: fmt.Errorf("truncated response: %w", err)}
	}
	if resp.StatusCode/100 != 2 {
		return readProblem(resp, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &unreachableError{error: fmt.Errorf("invalid response: %w", err)}
	}
	return nil
}

// readProblem decodes the problem in a response. A response that is not a problem,
// such as one of a load balancer, is converted to a problem with the same status.
func readProblem(resp *http.Response, body []byte) *gateway.Problem {
	p := &gateway.Problem{}
	if json.Unmarshal(body, p) != nil || p.Status == 0 {
		text := strings.TrimSpace(string(body[:min(len(body), 200)]))
		p = &gateway.Problem{Title: http.StatusText(resp.StatusCode), Detail: text}
	}
	p.Status = resp.StatusCode
	return p
}

// change sends a change. It retries temporary failures and unknown outcomes until the
// change is applied or refused, or the context ends. All attempts have the same
// identifier, so that the change is applied only once.
func (c *client) change(ctx context.Context, request call, id string, revision uint64) (gateway.AppliedChange, error) {
	retryBackOff := backoff.NewExponentialBackOff()
	retryBackOff.InitialInterval, retryBackOff.MaxInterval = retryInitialInterval, retryMaxInterval
	retryBackOff.Reset()
	request.headers[gateway.HeaderIdempotencyKey] = id
	request.headers["If-Match"] = `"` + strconv.FormatUint(revision, 10) + `"`
	uncertain := false
	for {
		var applied gateway.AppliedChange
		err := c.do(ctx, request, &applied)
		retry, maybeApplied := retryable(err)
		if !retry {
			return applied, err
		}
		uncertain = uncertain || maybeApplied
		select {
		case <-ctx.Done():
			if uncertain {
				err = &uncertainError{change: id, revision: revision, last: err}
			}
			return applied, err
		case <-time.After(retryBackOff.NextBackOff()):
		}
	}
}

// retryable reports whether to send the change again, and whether the failed attempt
// may have been applied.
func retryable(err error) (retry, maybeApplied bool) {
	switch e := err.(type) {
	case *unreachableError:
		return true, !e.notSent // nothing was sent without a connection, even if connecting timed out
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
