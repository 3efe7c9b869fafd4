package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/timeline"
)

const (
	readHeaderTimeout = 5 * time.Second
	// readBodyTimeout bounds a caller that sends its body slowly.
	readBodyTimeout = 30 * time.Second
	// writeTimeout bounds a caller that reads its answer slowly.
	writeTimeout = 60 * time.Second
	// idleTimeout exceeds the usual 60 s of load balancers, which must be the ones
	// to close an idle connection.
	idleTimeout = 90 * time.Second
	// headerSlack is read beyond the header limit, so that a request somewhat over
	// it gets an answer with an outcome instead of the plain one of net/http.
	headerSlack = 64 << 10
	// operatorTimeout bounds the work for one operator request.
	operatorTimeout = 10 * time.Second
	// statusTimeout bounds a question about a job to its shard owner.
	statusTimeout = 2 * time.Second
	// panicLogsPerSecond bounds the log of handler panics, which a caller may repeat.
	panicLogsPerSecond = 1
)

// Options are the parts of a Server. All but Timeline and Now are required.
type Options struct {
	Scheduler   Scheduler
	Config      Config
	ConfigCache ConfigCache
	Limits      settings.Limits
	Retention   time.Duration // of the at-most-once record
	Registry    *prometheus.Registry
	Log         *logrus.Entry
	Timeline    *timeline.Recorder
	Now         func() time.Time // time.Now where nil
}

// Server is the HTTP API of one entry process.
type Server struct {
	opts     Options
	mux      *http.ServeMux
	metrics  *metrics
	budget   *budget
	paths    map[string]bool // paths with a handler for other methods
	panicLog rate.Sometimes
}

// New returns the API. It registers its metrics.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Server{
		opts:     opts,
		mux:      http.NewServeMux(),
		budget:   &budget{maxEntries: opts.Limits.QueueEntries, maxBytes: opts.Limits.QueueBytes},
		paths:    map[string]bool{},
		panicLog: rate.Sometimes{First: 1, Interval: time.Second / panicLogsPerSecond},
	}
	s.metrics = newMetrics(opts, s.budget)
	s.routes()
	return s
}

// HTTP returns the HTTP server around the API. The caller listens and shuts it
// down. Requests get contexts below base.
func (s *Server) HTTP(base context.Context) *http.Server {
	return &http.Server{
		Handler:           s,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.opts.Limits.MaxHeaderBytes + headerSlack,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
}

func (s *Server) routes() {
	const (
		workspace = "/v1/workspaces/{workspace}"
		template  = workspace + "/templates/{template}"
		job       = template + "/jobs/{id}"
		config    = "/v1/config/workspaces/{workspace}"
	)
	s.submission(template+"/requests", s.postRequest)
	s.submission(template+"/jobs", s.postJob)
	s.handle("GET", job, s.getJob)
	s.handle("GET", job+"/answer", s.getAnswer)
	s.handle("POST", job+"/cancel", s.postCancel)
	s.handle("POST", workspace+"/cancel", s.postCancelMany)
	s.handle("POST", "/v1/identifiers", s.postIdentifiers)

	s.handle("GET", "/v1/config/workspaces", s.listWorkspaces)
	s.handle("GET", config, s.getWorkspace)
	s.handle("PUT", config, s.putWorkspace)
	s.handle("GET", config+"/history", s.getHistory)
	s.handle("GET", "/v1/config/drains", s.getDrains)
	s.handle("POST", "/v1/config/drains", s.postDrains)
	s.handle("GET", "/v1/status", s.getStatus)
	s.handle("GET", "/v1/jobs", s.getJobs)
	s.handle("GET", "/v1/timeline", s.getTimeline)

	s.handle("GET", "/healthz", s.getHealth)
	s.handle("GET", "/readyz", s.getReady)
	s.handle("GET", "/metrics", promhttp.HandlerFor(s.opts.Registry, promhttp.HandlerOpts{}).ServeHTTP)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, newProblem(http.StatusNotFound, codeNotFound, "no such path"))
	})
}

// handle serves a method of a path. Other methods get 405.
func (s *Server) handle(method, path string, h http.HandlerFunc) {
	s.mux.Handle(method+" "+path, s.metrics.measure(path, h))
	s.refuseMethods(path, method, "")
}

// submission serves POST of a path. Every refusal there carries the outcome.
func (s *Server) submission(path string, h http.HandlerFunc) {
	s.mux.Handle("POST "+path, s.metrics.measure(path, h))
	s.refuseMethods(path, "POST", model.OutcomeNotRun)
}

// refuseMethods answers the methods of a path that have no handler.
func (s *Server) refuseMethods(path, allowed string, outcome model.Outcome) {
	if s.paths[path] {
		return
	}
	s.paths[path] = true
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		p := newProblem(http.StatusMethodNotAllowed, codeMethod, r.Method+" is not allowed here")
		p.Outcome = outcome
		w.Header().Set("Allow", allowed)
		writeProblem(w, p)
	})
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.recoverPanic(w, r)
	if headerBytes(r) > s.opts.Limits.MaxHeaderBytes {
		p := newProblem(http.StatusRequestHeaderFieldsTooLarge, codeHeaders, "the headers exceed the limit of this system")
		p.Outcome = model.OutcomeNotRun
		writeProblem(w, p)
		return
	}
	if s.opts.Scheduler.Ready() != nil {
		// The caller's next connection then goes to a process that stays.
		w.Header().Set("Connection", "close")
	}
	// The deadline of an earlier answer on the connection does not count for this one.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	s.mux.ServeHTTP(w, r)
}

// record adds the end of a submission to the timeline.
func (s *Server) record(event, id string, outcome model.Outcome, reason model.Reason) {
	if s.opts.Timeline == nil {
		return
	}
	detail := string(outcome)
	if reason != "" {
		detail += " " + string(reason)
	}
	s.opts.Timeline.Record(timeline.Event{Part: "gateway", Name: event, Request: id, Detail: detail})
}

// recoverPanic answers a request whose handler panicked. What became of a
// submission is then not known.
func (s *Server) recoverPanic(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	s.panicLog.Do(func() {
		s.opts.Log.WithField("path", r.URL.Path).Errorf("gateway: handler panicked: %v\n%s", v, debug.Stack())
	})
	p := newProblem(http.StatusInternalServerError, codeInternal, "internal fault")
	p.Outcome = model.OutcomeUnknown
	writeProblem(w, p)
}

// readAll reads a body of at most limit bytes. The read deadline ends with it:
// one that passes later would look to net/http like a caller that hung up, and
// cancel the request while it waits for its answer.
func readAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = c.SetReadDeadline(time.Time{})
	return body, err
}

// send writes the whole body with its length. An error means that the caller is
// gone; nobody is left to be told.
func send(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if bodyAllowed(status) {
		w.Header().Set("Content-Length", itoa(len(body)))
	}
	w.WriteHeader(status)
	if bodyAllowed(status) {
		_, _ = w.Write(body)
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
