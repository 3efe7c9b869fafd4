package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// Headers of the caller API.
const (
	headerIdentifier = "Idempotency-Key"
	headerOutcome    = "Agateyard-Outcome"
	headerReason     = "Agateyard-Reason"
	headerRetryAfter = "Retry-After"
)

// maxAnswerBytes limits how much of an answer the client reads.
const maxAnswerBytes = 64 << 20

// apiClient calls the caller API of the entry processes. It is safe for concurrent use.
type apiClient struct {
	entries   []string
	transport *http.Transport
}

func newAPIClient(entries []string, connections int) *apiClient {
	return &apiClient{
		entries: entries,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 3 * time.Second}).DialContext,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		},
	}
}

func (c *apiClient) close() { c.transport.CloseIdleConnections() }

// response is an HTTP response with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// do makes one call. The transport doesn't send a body a second time, since GetBody is
// not set.
func (c *apiClient) do(ctx context.Context, method string, entry int, path, id string, body []byte) (response, error) {
	u := "http://" + c.entries[entry%len(c.entries)] + path
	req, err := http.NewRequestWithContext(ctx, method, u, nil)
	if err != nil {
		return response{}, err
	}
	if body != nil {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	if id != "" {
		req.Header.Set(headerIdentifier, id)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return response{}, fmt.Errorf("answer truncated: %w", err)
	}
	return response{resp.StatusCode, resp.Header, raw}, nil
}

// identifier returns the identifier for a new request, or an empty string if the
// entry process assigns it.
func (c *apiClient) identifier(ctx context.Context, a arrival) (string, error) {
	switch a.stream.Identifier {
	case IdentifierNone:
		return "", nil
	case IdentifierServer:
		return c.generateIdentifier(ctx, a)
	}
	id, err := uuid.NewV7()
	return id.String(), err
}

// identifierRequest is the body of POST /v1/identifiers.
type identifierRequest struct {
	Workspace   string `json:"workspace"`
	Template    string `json:"template"`
	OrderingKey string `json:"ordering_key,omitempty"`
	Count       int    `json:"count"`
}

// identifierReply is the reply to POST /v1/identifiers.
type identifierReply struct {
	Identifiers []string `json:"identifiers"`
}

func (c *apiClient) generateIdentifier(ctx context.Context, a arrival) (string, error) {
	body, err := json.Marshal(identifierRequest{
		Workspace: a.stream.Workspace, Template: a.stream.Template, OrderingKey: a.orderingValue(), Count: 1,
	})
	if err != nil {
		return "", err
	}
	resp, err := c.do(ctx, http.MethodPost, a.entry, "/v1/identifiers", "", body)
	if err != nil {
		return "", err
	}
	var r identifierReply
	if err := json.Unmarshal(resp.body, &r); err != nil || len(r.Identifiers) != 1 {
		return "", fmt.Errorf("generate identifier: status %d, reply has no identifier", resp.status)
	}
	return r.Identifiers[0], nil
}

// submit sends the request once and waits for its result.
func (c *apiClient) submit(ctx context.Context, a arrival, entry int, id string, body []byte) result {
	r := result{sent: time.Now()}
	if a.stream.Mode == ModeRequest {
		resp, err := c.do(ctx, http.MethodPost, entry, templatePath(a.stream)+"/requests", id, body)
		r.finish(a, resp, err)
	} else {
		c.submitJob(ctx, a, entry, id, body, &r)
	}
	r.received = time.Now()
	return r
}

func templatePath(s *Stream) string {
	return "/v1/workspaces/" + url.PathEscape(s.Workspace) + "/templates/" + url.PathEscape(s.Template)
}

// submitJob submits a job and polls it until it is done or, for a service, until
// all its replicas run.
func (c *apiClient) submitJob(ctx context.Context, a arrival, entry int, id string, body []byte, r *result) {
	jobs := templatePath(a.stream) + "/jobs"
	resp, err := c.do(ctx, http.MethodPost, entry, jobs, id, body)
	if err != nil || resp.status != http.StatusAccepted {
		r.finish(a, resp, err)
		return
	}
	r.accepted = time.Since(r.sent)
	if id = resp.header.Get(headerIdentifier); id == "" {
		r.fail(errors.New("job accepted without an identifier"))
		return
	}
	job := jobs + "/" + url.PathEscape(id)
	var lastErr error
	for i := 1; ; i++ {
		if !ctxtime.Sleep(ctx, a.stream.Poll.D()) {
			r.fail(errors.Join(ctx.Err(), lastErr))
			return
		}
		// Poll through each entry process in turn: all of them must know the job.
		done, err := c.poll(ctx, a, entry+i, job, r)
		if done {
			return
		}
		lastErr = err
	}
}

// poll requests the status of the job once. It reports whether the result is
// complete.
func (c *apiClient) poll(ctx context.Context, a arrival, entry int, job string, r *result) (bool, error) {
	resp, err := c.do(ctx, http.MethodGet, entry, job, "", nil)
	if err != nil || resp.status != http.StatusOK {
		return false, errors.Join(err, fmt.Errorf("job status: HTTP status %d", resp.status))
	}
	var st model.JobStatus
	if err := json.Unmarshal(resp.body, &st); err != nil {
		return false, err
	}
	r.status = &st
	if a.stream.Mode == ModeService && st.State == model.JobRunning && st.Running >= st.Tasks {
		r.verdict = VerdictRunning
		return true, nil
	}
	if st.State != model.JobDone {
		return false, nil
	}
	if st.Outcome != model.OutcomeRan {
		r.verdict, r.reason = Verdict(st.Outcome), st.Reason
		return true, nil
	}
	resp, err = c.do(ctx, http.MethodGet, entry, job+"/answer", "", nil)
	if err != nil {
		return false, err
	}
	r.finish(a, resp, nil)
	return true, nil
}

// finish sets the result from the final response.
func (r *result) finish(a arrival, resp response, err error) {
	if err != nil {
		r.fail(err)
		return
	}
	r.reason = model.Reason(resp.header.Get(headerReason))
	switch outcome := model.Outcome(resp.header.Get(headerOutcome)); outcome {
	case model.OutcomeRan:
		r.verdict = VerdictRan
		r.verifyAnswer(a, resp)
	case model.OutcomeNotRun, model.OutcomeUnknown:
		r.verdict = Verdict(outcome)
		r.retryAfter = parseRetryAfter(resp.header.Get(headerRetryAfter))
	default:
		r.fail(fmt.Errorf("status %d with unexpected outcome %q", resp.status, outcome))
	}
}

func (r *result) fail(err error) {
	r.verdict = VerdictError
	r.err = err
}

// verifyAnswer checks that the answer is complete and belongs to this request, and
// reads the attempt and its success from the answer.
func (r *result) verifyAnswer(a arrival, resp response) {
	if r.reason == model.ReasonAnswerTooLarge {
		return
	}
	b, err := standin.ParseAnswer(resp.body)
	want := a.stream.Workspace + "/" + a.stream.Template
	switch {
	case err != nil:
		r.mismatch = err.Error()
	case b.Echo != a.echo:
		r.mismatch = fmt.Sprintf("answer to %s received for %s", b.Echo, a.echo)
	case b.Template != want:
		r.mismatch = fmt.Sprintf("answer from template %s, want %s", b.Template, want)
	case a.stream.AnswerBytes > 0 && len(b.Filler) != a.stream.AnswerBytes:
		r.mismatch = fmt.Sprintf("answer filler has %d bytes, want %d", len(b.Filler), a.stream.AnswerBytes)
	}
	r.failed = b.Failed
	r.attempt = b.Attempt
}

// parseRetryAfter parses the header as seconds, possibly with a fraction. It
// returns 0 for an invalid value.
func parseRetryAfter(v string) time.Duration {
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
