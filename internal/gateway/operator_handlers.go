package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/timeline"
)

// Limits on the number of jobs that GET /v1/jobs returns.
const (
	DefaultJobs = 100
	MaxJobs     = 10_000
)

// JobList is the response of GET /v1/jobs.
type JobList struct {
	Jobs []model.JobStatus `json:"jobs"`
}

// EventList is the response of GET /v1/timeline.
type EventList struct {
	Events []timeline.Event `json:"events"`
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, s.opts.Scheduler.Cell(ctx))
}

func (s *Server) getJobs(w http.ResponseWriter, r *http.Request) {
	filter, p := readFilter(r)
	if p != nil {
		writeProblem(w, p)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	jobs, err := s.opts.Scheduler.Jobs(ctx, filter)
	if err != nil {
		writeProblem(w, schedulerProblem(err))
		return
	}
	if jobs == nil {
		jobs = []model.JobStatus{}
	}
	writeJSON(w, http.StatusOK, JobList{Jobs: jobs})
}

func readFilter(r *http.Request) (JobFilter, *Problem) {
	q := r.URL.Query()
	f := JobFilter{
		Workspace: q.Get("workspace"),
		Template:  q.Get("template"),
		State:     model.JobState(q.Get("state")),
		Limit:     DefaultJobs,
	}
	for name, value := range map[string]string{"workspace": f.Workspace, "template": f.Template} {
		if value != "" && !settings.ValidName(value) {
			return f, badField(name, "is not a valid name")
		}
	}
	switch f.State {
	case "", model.JobQueued, model.JobRunning, model.JobDone:
	default:
		return f, badField("state", "must be queued, running or done")
	}
	if v := q.Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > MaxJobs {
			return f, badField("limit", fmt.Sprintf("must be 1 to %d", MaxJobs))
		}
		f.Limit = n
	}
	return f, nil
}

func (s *Server) getTimeline(w http.ResponseWriter, r *http.Request) {
	request := r.URL.Query().Get("request")
	if request != "" {
		if p := checkID(request, "request"); p != nil {
			writeProblem(w, p)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	events, err := s.opts.Scheduler.Events(ctx, request)
	if err != nil {
		writeProblem(w, schedulerProblem(err))
		return
	}
	if events == nil {
		events = []timeline.Event{}
	}
	writeJSON(w, http.StatusOK, EventList{Events: events})
}

// Health is the response of /healthz and /readyz.
type Health struct {
	Status string `json:"status"`
}

// getHealth is the liveness probe. It succeeds whenever the process serves HTTP.
func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Health{Status: "ok"})
}

// getReady is the readiness probe for the load balancer.
func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.opts.Scheduler.Ready(); err != nil {
		p := newProblem(http.StatusServiceUnavailable, codeNotReady, err.Error())
		p.retryAfter = notReadyRetryAfter
		writeProblem(w, p)
		return
	}
	writeJSON(w, http.StatusOK, Health{Status: "ready"})
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
