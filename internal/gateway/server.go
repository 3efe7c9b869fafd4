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
	// readBodyTimeout is the time limit for receiving a body.
	readBodyTimeout = 30 * time.Second
	// writeTimeout is the time limit for sending a response.
	writeTimeout = 60 * time.Second
	// idleTimeout exceeds the usual 60 s of load balancers, because the load balancer
	// must be the side that closes an idle connection.
	idleTimeout = 90 * time.Second
	// headerSlack is read beyond the header limit, so that a request slightly over the
	// limit gets a response with an outcome instead of the default one of net/http.
	headerSlack = 64 << 10
	// operatorTimeout is the time limit for reading the cell status, jobs, answers, the
	// timeline and the history of a document, and for cancellations.
	operatorTimeout = 10 * time.Second
	// statusTimeout is the time limit for reading a document or the status of an earlier
	// submission.
	statusTimeout = 2 * time.Second
	// panicLogsPerSecond limits the log entries about handler panics, which a caller
	// may be able to cause repeatedly.
	panicLogsPerSecond = 1
)

// Options configures a Server. All fields except Timeline and Now are required.
type Options struct {
	Scheduler   Scheduler
	Config      Config
	ConfigCache ConfigCache
	Limits      settings.Limits
	Retention   time.Duration // of the at-most-once record
	Registry    *prometheus.Registry
	Log         *logrus.Entry
	Timeline    *timeline.Recorder
	Now         func() time.Time // defaults to time.Now
}

// Server is the HTTP API of one entry process.
type Server struct {
	opts     Options
	mux      *http.ServeMux
	metrics  *metrics
	budget   *budget
	paths    map[string]bool // paths with a 405 handler for other methods
	panicLog rate.Sometimes
}

// New returns a Server and registers its metrics.
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

// HTTP returns an HTTP server for the API. The caller listens and shuts it down.
// Request contexts are derived from base.
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
	s.handleSubmission(template+"/requests", s.postRequest)
	s.handleSubmission(template+"/jobs", s.postJob)
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

// handle registers a handler for a method of a path. Other methods get 405.
func (s *Server) handle(method, path string, h http.HandlerFunc) {
	s.mux.Handle(method+" "+path, s.metrics.measure(path, h))
	s.refuseMethods(path, method, "")
}

// handleSubmission registers a handler for POST to a path whose error responses all
// carry an outcome.
func (s *Server) handleSubmission(path string, h http.HandlerFunc) {
	s.mux.Handle("POST "+path, s.metrics.measure(path, h))
	s.refuseMethods(path, "POST", model.OutcomeNotRun)
}

// refuseMethods responds with 405 to the methods of a path that have no handler.
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
		if r.Header.Get(HeaderIdempotencyKey) != "" {
			p.Outcome = model.OutcomeUnknown // an earlier submission with the identifier may have run
		}
		writeProblem(w, p)
		return
	}
	if s.opts.Scheduler.Ready() != nil {
		// Makes the caller open a new connection, which the load balancer sends to a
		// ready process.
		w.Header().Set("Connection", "close")
	}
	// Clears the write deadline of the previous response on this connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	s.mux.ServeHTTP(w, r)
}

// recordEvent records the outcome of a submission in the timeline.
func (s *Server) recordEvent(event, id string, outcome model.Outcome, reason model.Reason) {
	if s.opts.Timeline == nil {
		return
	}
	detail := string(outcome)
	if reason != "" {
		detail += " " + string(reason)
	}
	s.opts.Timeline.Record(timeline.Event{Part: "gateway", Name: event, Request: id, Detail: detail})
}

// recoverPanic responds to a request whose handler panicked. The outcome of a
// submission is unknown in this case.
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

// readAll reads a body of at most limit bytes and clears the read deadline
// afterwards. Otherwise net/http would treat the expiry of the deadline as a
// disconnected caller and cancel the request while it waits for its answer.
func readAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = c.SetReadDeadline(time.Time{})
	return body, err
}

// send writes the response with its Content-Length. Write errors are ignored, because
// they mean that the caller has disconnected.
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
