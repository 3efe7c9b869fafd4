package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/endpoint/standin"
	"github.com/agateyard/agateyard/internal/model"
)

// bug selects how the fake entry process misbehaves.
type bug string

const (
	bugNone                bug = ""
	bugNotRun              bug = "answers not-run for work that ran"
	bugSequentialDuplicate bug = "runs work twice, one after the other"
	bugConcurrentDuplicate bug = "runs work twice concurrently"
	bugSwapped             bug = "returns one caller's answer to another caller"
	bugTruncated           bug = "truncates the answer"
	bugRefusesFirst        bug = "refuses the first request of each identifier, which is allowed"
	bugDropsConnection     bug = "drops the connection after the first run, which is allowed"
)

// fakeEntry serves the caller API with one runner and without queueing. Requests
// with the same identifier share one run.
type fakeEntry struct {
	t      *testing.T
	bug    bug
	runner *standin.Endpoint
	client *endpoint.HTTPClient
	http   *httptest.Server
	nonce  atomic.Uint64

	mu   sync.Mutex
	jobs map[string]*fakeJob
	last []byte
}

type fakeJob struct {
	done    chan struct{}
	outcome model.Outcome
	answer  []byte
	calls   int
}

func newFakeEntry(t *testing.T, b bug) *fakeEntry {
	t.Helper()
	cfg := standin.RunnerConfig("runner-1", "z1", "orders")
	cfg.Capacity.Slots, cfg.MaxConnections = 1000, 0
	runner, err := standin.Listen("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	opts := endpoint.DefaultOptions()
	opts.MaxConnections = 1000
	f := &fakeEntry{t: t, bug: b, runner: runner, client: endpoint.NewHTTPClient(runner.Address(), opts), jobs: map[string]*fakeJob{}}
	if _, err := f.client.Session(context.Background(), endpoint.SessionRequest{Token: 1, Owner: "o"}); err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/identifiers", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(identifierReply{[]string{uuid.NewString()}})
	})
	mux.HandleFunc("POST /v1/workspaces/{w}/templates/{t}/requests", f.request)
	mux.HandleFunc("POST /v1/workspaces/{w}/templates/{t}/jobs", f.accept)
	mux.HandleFunc("GET /v1/workspaces/{w}/templates/{t}/jobs/{id}", f.status)
	mux.HandleFunc("GET /v1/workspaces/{w}/templates/{t}/jobs/{id}/answer", f.answer)
	f.http = httptest.NewServer(mux)
	t.Cleanup(func() { f.http.Close(); f.client.Close(); f.runner.Close() })
	return f
}

func (f *fakeEntry) address() string { return f.http.URL[len("http://"):] }

// submitted returns how many identifiers have been submitted.
func (f *fakeEntry) submitted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs)
}

// submit runs the request, or attaches to an earlier one with the same identifier.
func (f *fakeEntry) submit(r *http.Request) (id string, job *fakeJob, calls int) {
	body, _ := io.ReadAll(r.Body)
	if id = r.Header.Get(headerIdentifier); id == "" {
		id = uuid.NewString()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	job = f.jobs[id]
	if job == nil {
		job = &fakeJob{done: make(chan struct{})}
		f.jobs[id] = job
		if f.bug != bugRefusesFirst {
			go f.run(r.PathValue("w"), r.PathValue("t"), id, body, job)
		}
	} else if f.bug == bugRefusesFirst && job.calls == 1 {
		go f.run(r.PathValue("w"), r.PathValue("t"), id, body, job)
	}
	job.calls++
	return id, job, job.calls
}

func (f *fakeEntry) run(workspace, template, id string, body []byte, job *fakeJob) {
	defer close(job.done)
	key := model.RequestKey{Template: model.TemplateID{Workspace: workspace, Name: template}, ID: id}
	start := func() []byte {
		req := endpoint.StartRequest{
			Attempt: model.NewAttemptID(key, 0, f.nonce.Add(1)), Token: 1, StartBeforeMS: 50_000,
			Template: workspace + "/" + template, Body: body,
		}
		reply, err := f.client.Start(context.Background(), req)
		if err != nil && !errors.Is(err, endpoint.ErrOutcomeUnknown) {
			f.t.Error(err)
		}
		return reply.Answer.Body
	}
	job.outcome = model.OutcomeRan
	switch f.bug {
	case bugNotRun:
		start()
		job.outcome = model.OutcomeNotRun
		return
	case bugSequentialDuplicate:
		start()
	case bugConcurrentDuplicate:
		go start()
	case bugSwapped:
		f.mu.Lock()
		if f.last != nil {
			job.answer = f.last
			f.mu.Unlock()
			return
		}
		f.mu.Unlock()
	}
	job.answer = start()
	f.mu.Lock()
	f.last = job.answer
	f.mu.Unlock()
}

func (f *fakeEntry) request(w http.ResponseWriter, r *http.Request) {
	id, job, calls := f.submit(r)
	if f.bug == bugRefusesFirst && calls == 1 {
		w.Header().Set(headerOutcome, string(model.OutcomeNotRun))
		w.Header().Set(headerRetryAfter, "0.05")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	<-job.done
	if f.bug == bugDropsConnection && calls == 1 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerIdentifier, id)
	f.write(w, job)
}

func (f *fakeEntry) write(w http.ResponseWriter, job *fakeJob) {
	w.Header().Set(headerOutcome, string(job.outcome))
	answer := job.answer
	if f.bug == bugTruncated {
		answer = answer[:len(answer)/2]
	}
	_, _ = w.Write(answer)
}

func (f *fakeEntry) accept(w http.ResponseWriter, r *http.Request) {
	id, _, _ := f.submit(r)
	w.Header().Set(headerIdentifier, id)
	w.WriteHeader(http.StatusAccepted)
}

func (f *fakeEntry) job(r *http.Request) *fakeJob {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[r.PathValue("id")]
}

func (f *fakeEntry) status(w http.ResponseWriter, r *http.Request) {
	st := model.JobStatus{State: model.JobRunning, Running: 1, Tasks: 1}
	job := f.job(r)
	select {
	case <-job.done:
		st.State, st.Outcome = model.JobDone, job.outcome
	default:
	}
	_ = json.NewEncoder(w).Encode(st)
}

func (f *fakeEntry) answer(w http.ResponseWriter, r *http.Request) { f.write(w, f.job(r)) }

// scenario returns a scenario with one stream that uses the fake entry process.
func (f *fakeEntry) scenario(change func(*Stream)) Scenario {
	st := Stream{
		Workspace: "kalnins", Template: "cutting-run", AnswerBytes: 100,
		Run:   Distribution{Mean: Duration(10 * time.Millisecond)},
		Limit: Duration(5 * time.Second), Poll: Duration(5 * time.Millisecond),
	}
	if change != nil {
		change(&st)
	}
	st = st.withDefaults()
	return Scenario{
		Name: "test", Seed: 1, Entries: []string{f.address(), f.address()}, MaxOutstanding: 500,
		Streams: []Stream{st},
		Phases:  []Phase{{Name: "only", Duration: Duration(300 * time.Millisecond), Rates: map[string]float64{st.Name: 200}}},
	}
}

func (f *fakeEntry) load(s Scenario) Report {
	f.t.Helper()
	rep, err := Run(context.Background(), s, Options{Effects: []string{f.runner.Address()}, Settle: 50 * time.Millisecond})
	if err != nil {
		f.t.Fatal(err)
	}
	if rep.Total[0].Counts.Sent < 30 {
		f.t.Errorf("only %d requests sent: %s", rep.Total[0].Counts.Sent, fmt.Sprint(rep.Total[0].Errors))
	}
	return rep
}
