package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Rapid()
	goleak.VerifyTestMain(m)
}

// printedHeaders are the response headers that the data-driven tests print.
var printedHeaders = []string{
	HeaderOutcome, HeaderReason, HeaderIdempotencyKey, HeaderJoined, "Retry-After", HeaderRetryAfterMS,
	"Location", "ETag", "Allow", "Connection", "Content-Type", "Content-Length",
}

// expandIDs replaces placeholders with identifiers whose timestamps are relative to
// now.
func expandIDs(s string) string {
	for name, id := range map[string]string{
		"$fresh":  idGeneratedAt(now),
		"$old":    idGeneratedAt(now.Add(-16 * time.Minute)),
		"$recent": idGeneratedAt(now.Add(-14 * time.Minute)),
		"$future": idGeneratedAt(now.Add(6 * time.Second)),
		"$skewed": idGeneratedAt(now.Add(4 * time.Second)),
	} {
		s = strings.ReplaceAll(s, name, id)
	}
	return s
}

// Guards against wrong status codes, refusals without an outcome, "not-run" for work
// that may have run, missing headers, and invalid requests that reach the scheduler.
func TestHTTP(t *testing.T) {
	files := []string{"submissions", "jobs", "operators"}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			a := newAPI(t)
			datadriven.RunTest(t, "testdata/"+file, func(t *testing.T, d *datadriven.TestData) string {
				switch d.Cmd {
				case "new":
					a = newAPI(t)
					return ""
				case "scheduler":
					return a.configureFakes(t, d)
				case "send":
					return a.send(t, expandIDs(d.Input))
				}
				t.Fatalf("unknown command %s", d.Cmd)
				return ""
			})
		})
	}
}

// configureFakes sets the replies and errors of the fakes.
func (a *api) configureFakes(t *testing.T, d *datadriven.TestData) string {
	for _, arg := range d.CmdArgs {
		into := map[string]any{"reply": &a.scheduler.reply, "status": &a.scheduler.status, "cell": &a.scheduler.cell}[arg.Key]
		switch arg.Key {
		case "ready":
			a.scheduler.notReady = nil
		case "not-ready":
			a.scheduler.notReady = errStoreUnavailable
		case "status-error":
			a.scheduler.statusErr = errStoreUnavailable
		case "status-may-have-run":
			a.scheduler.statusErr = ErrMayHaveRun
		case "panics":
			a.scheduler.panics = true
		case "store-down":
			a.config.err = errStoreUnavailable
		case "store-uncertain":
			a.config.err = &configstore.UncertainError{Change: "c", Last: errStoreUnavailable}
		default:
			if err := json.Unmarshal([]byte(d.Input), into); err != nil {
				t.Fatal(err)
			}
		}
	}
	return ""
}

// send sends one request and returns the response and the submissions that reached
// the scheduler. The text consists of "METHOD path", headers, an empty line and the
// body.
func (a *api) send(t *testing.T, text string) string {
	head, body, _ := strings.Cut(text, "\n\n")
	lines := strings.Split(head, "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		r.Header.Add(name, strings.ReplaceAll(value, "$4k", strings.Repeat("x", 4096)))
	}
	a.scheduler.submitted = nil
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r)
	var b strings.Builder
	fmt.Fprintf(&b, "%d", w.Code)
	for _, name := range printedHeaders {
		if v := w.Header().Get(name); v != "" {
			fmt.Fprintf(&b, " | %s: %s", name, v)
		}
	}
	b.WriteString("\n")
	if body := strings.TrimSpace(w.Body.String()); body != "" {
		b.WriteString(body + "\n")
	}
	for _, s := range a.scheduler.submitted {
		fmt.Fprintf(&b, "submitted %s ordering=%q async=%v wait=%v %q\n", s.Key, s.Key.OrderingKey, s.Async, s.MaxWait, s.Body)
	}
	if entries, bytes := a.budget.used(); entries != 0 || bytes != 0 {
		fmt.Fprintf(&b, "LEAKED %d entries, %d bytes\n", entries, bytes)
	}
	return b.String()
}

// Guards against a response without an outcome, a panic and a leaked budget
// reservation, for submissions with arbitrary headers and bodies.
func TestArbitrarySubmissions(t *testing.T) {
	a := newAPI(t)
	a.scheduler.reply = model.Reply{Outcome: model.OutcomeRan, Answer: model.Answer{Status: 200}}
	text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"", "\x00", "../..", "%2f", "-1", "1e9s", strings.Repeat("9", 300), `"a"`}))
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"cut-list", "confirm", "ordered", "render", "paused", "none", "%00", "A"}).Draw(t, "template")
		suffix := rapid.SampledFrom([]string{"requests", "jobs"}).Draw(t, "suffix")
		method := rapid.SampledFrom([]string{"POST", "POST", "POST", "GET", "TRACE"}).Draw(t, "method")
		body := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{`{"order_id":"1"}`, `{"order_id":{}}`, "[[[["})).Draw(t, "body")
		r := httptest.NewRequest(method, "/v1/workspaces/kalnins/templates/"+name+"/"+suffix, strings.NewReader(body))
		for _, h := range []string{HeaderIdempotencyKey, HeaderMaxWait, "Content-Type", "Content-Encoding", "Order_id"} {
			if rapid.Bool().Draw(t, h+" set") {
				r.Header[http.CanonicalHeaderKey(h)] = []string{text.Draw(t, h)}
			}
		}
		w := httptest.NewRecorder()
		a.ServeHTTP(w, r)
		switch outcome := model.Outcome(w.Header().Get(HeaderOutcome)); outcome {
		case model.OutcomeRan, model.OutcomeNotRun, model.OutcomeUnknown:
		default:
			t.Fatalf("%d with outcome %q", w.Code, outcome)
		}
		if w.Code >= 500 && w.Code != 503 {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
		if entries, bytes := a.budget.used(); entries != 0 || bytes != 0 {
			t.Fatalf("leaked %d entries, %d bytes", entries, bytes)
		}
	})
}

// Guards against a process that accepts more submissions than its budget allows, and
// against a budget that is not released when the submissions end.
func TestBudget(t *testing.T) {
	a := newAPI(t)
	a.scheduler.hangs = true
	server := httptest.NewServer(a.Server)
	defer server.Close()
	client := server.Client()
	post := func() (int, string) {
		resp, err := client.Post(server.URL+"/v1/workspaces/kalnins/templates/render/jobs", "text/plain", strings.NewReader("x"))
		if err != nil {
			return 0, ""
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode, resp.Header.Get(HeaderOutcome)
	}
	for range a.budget.maxEntries {
		go post()
	}
	deadline := time.Now().Add(5 * time.Second)
	for entries := 0; entries < a.budget.maxEntries; entries, _ = a.budget.used() {
		if time.Now().After(deadline) {
			t.Fatal("submissions did not reserve the budget in time")
		}
		time.Sleep(time.Millisecond)
	}
	if code, outcome := post(); code != 503 || outcome != "not-run" {
		t.Errorf("over the budget: got %d, %s", code, outcome)
	}
	server.CloseClientConnections()
	for entries := 1; entries > 0; entries, _ = a.budget.used() {
		if time.Now().After(deadline) {
			t.Fatal("budget was not released")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against submitting a body of which only a part was received.
func TestTruncatedBody(t *testing.T) {
	a := newAPI(t)
	server := httptest.NewServer(a.Server)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /v1/workspaces/kalnins/templates/cut-list/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf")
	_ = conn.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != 408 || resp.Header.Get(HeaderOutcome) != "not-run" || len(a.scheduler.submitted) != 0 {
		t.Errorf("got %d, %s, %d submitted", resp.StatusCode, resp.Header.Get(HeaderOutcome), len(a.scheduler.submitted))
	}
}

// deadlineRecorder records the last read deadline and the number of calls that set
// one.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	readDeadline time.Time
	calls        int
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.readDeadline = t
	r.calls++
	return nil
}

// Guards against a read deadline that is not cleared after the body was read: when it
// expires, net/http cancels the request while it waits for its answer.
func TestReadDeadlineClearedAfterBody(t *testing.T) {
	a := newAPI(t)
	for _, path := range []string{"/v1/workspaces/kalnins/templates/cut-list/requests", "/v1/identifiers"} {
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		a.ServeHTTP(w, httptest.NewRequest("POST", path, strings.NewReader("{}")))
		if w.calls < 2 || !w.readDeadline.IsZero() {
			t.Errorf("%s: deadline set %d times, last to %v", path, w.calls, w.readDeadline)
		}
	}
}

// Guards against a caller that resubmits a finished request and does not get its
// answer because the template has been removed in the meantime.
func TestAnswerAfterTemplateRemoval(t *testing.T) {
	a := newAPI(t)
	a.scheduler.status = &model.JobStatus{
		State: model.JobDone, Outcome: model.OutcomeRan, Answer: &model.Answer{Status: 200, Body: []byte("cut")},
	}
	got := a.send(t, "POST /v1/workspaces/kalnins/templates/none/requests\nIdempotency-Key: k")
	if !strings.HasPrefix(got, "200 | Agateyard-Outcome: ran | ") || !strings.HasSuffix(got, "cut\n") {
		t.Errorf("got %s", got)
	}
}

// Guards against a caller that is told "not-run" although an earlier submission of the
// request ran: the refused one was not read up to its ordering key, so the record of the
// earlier one can't be found.
func TestRefusalBeforeOrderingKeyIsRead(t *testing.T) {
	for name, request := range map[string]string{
		"bad wait":         "POST /v1/workspaces/kalnins/templates/ordered/requests\nIdempotency-Key: k\nAgateyard-Max-Wait: soon",
		"bad encoding":     "POST /v1/workspaces/kalnins/templates/ordered/requests\nIdempotency-Key: k\nContent-Encoding: gzip",
		"removed template": "POST /v1/workspaces/kalnins/templates/none/requests\nIdempotency-Key: k",
		"body too large":   "POST /v1/workspaces/kalnins/templates/ordered/requests\nIdempotency-Key: k\n\n" + strings.Repeat("x", 2<<20),
	} {
		a := newAPI(t)
		if got := a.send(t, request); !strings.Contains(got, "Agateyard-Outcome: unknown") {
			t.Errorf("%s: %.300s", name, got)
		}
		if got := a.send(t, strings.Replace(request, "Idempotency-Key: k", "X-Other: k", 1)); !strings.Contains(got, "Agateyard-Outcome: not-run") {
			t.Errorf("%s, first submission: %.300s", name, got)
		}
	}
}

// Guards against submissions and revisions that are missing in the metrics or the
// timeline.
func TestObservability(t *testing.T) {
	a := newAPI(t)
	a.scheduler.reply = model.Reply{Outcome: model.OutcomeNotRun, Reason: model.ReasonOverload}
	a.send(t, "POST /v1/workspaces/kalnins/templates/cut-list/requests\nIdempotency-Key: first")
	a.send(t, "POST /v1/workspaces/kalnins/templates/cut-list/requests\nIdempotency-Key: second\nAgateyard-Max-Wait: soon")
	metrics := a.send(t, "GET /metrics")
	for _, line := range []string{
		`agateyard_gateway_outcomes_total{outcome="not-run",reason="overload"} 1`,
		`agateyard_gateway_refused_total{reason="invalid-request"} 1`,
		`agateyard_config_revision{document="workspace/kalnins"} 4`,
		`agateyard_gateway_held_submissions 0`,
		`agateyard_http_requests_total{method="POST",route="/v1/workspaces/{workspace}/templates/{template}/requests",status="429"} 1`,
	} {
		if !strings.Contains(metrics, line) {
			t.Errorf("%s is missing", line)
		}
	}
	events := a.timeline.Events("")
	if len(events) != 2 || events[0].Name != "answered" || events[0].Request != "first" || events[1].Name != "refused" ||
		events[1].Detail != "not-run invalid-request" {
		t.Errorf("timeline %+v", events)
	}
}

// BenchmarkRefusal measures the gateway's overhead for a request that the scheduler
// refuses.
func BenchmarkRefusal(b *testing.B) {
	a := newAPI(b)
	a.scheduler.reply = model.Reply{Outcome: model.OutcomeNotRun, Reason: model.ReasonOverload, RetryAfter: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		a.scheduler.submitted = nil
		r := httptest.NewRequest("POST", "/v1/workspaces/kalnins/templates/cut-list/requests", strings.NewReader("boards"))
		a.ServeHTTP(httptest.NewRecorder(), r)
	}
}

// Guards against a reason for not-run replies that has no status in notRunStatus.
func TestEveryReasonHasAStatus(t *testing.T) {
	src, err := os.ReadFile("../model/submission.go")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for line := range strings.Lines(string(src)) {
		_, value, ok := strings.Cut(line, "Reason = \"")
		if !ok {
			continue
		}
		found++
		reason := model.Reason(value[:strings.IndexByte(value, '"')])
		if _, ok := notRunStatus[reason]; !ok && reason != model.ReasonAttemptLost && reason != model.ReasonAnswerTooLarge {
			t.Errorf("no status for %q", reason)
		}
	}
	if found < 10 {
		t.Errorf("found only %d reasons", found)
	}
}

// Guards against bulk cancellations that are refused, truncated or reordered.
func TestCancelMany(t *testing.T) {
	a := newAPI(t)
	for _, n := range []int{0, 1, MaxCancels, MaxCancels + 1} {
		body := CancelManyRequest{}
		for i := range n {
			body.Requests = append(body.Requests, CancelEntry{Template: "cut-list", ID: fmt.Sprint("id-", i)})
		}
		raw, _ := json.Marshal(body)
		w := httptest.NewRecorder()
		a.ServeHTTP(w, httptest.NewRequest("POST", "/v1/workspaces/kalnins/cancel", strings.NewReader(string(raw))))
		if n == 0 || n > MaxCancels {
			if w.Code != 400 || !strings.Contains(w.Body.String(), `"field":"requests"`) {
				t.Errorf("%d requests: got %d %.200s", n, w.Code, w.Body)
			}
			continue
		}
		var results CancelResults
		if err := json.Unmarshal(w.Body.Bytes(), &results); err != nil || len(results.Results) != n {
			t.Fatalf("%d requests: %d results, %v", n, len(results.Results), err)
		}
		if last := results.Results[n-1].Key; last.ID != fmt.Sprint("id-", n-1) {
			t.Errorf("%d requests: last result is of %v", n, last)
		}
	}
}
