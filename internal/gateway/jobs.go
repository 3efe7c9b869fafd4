package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
)

// pollRetryAfter is the Retry-After of responses for an answer that does not exist yet,
// and of those after a scheduler call that failed.
const pollRetryAfter = time.Second

// jobKey reads the request key from the path. The ordering key is taken from the
// query parameter or, if the template in force has an ordering key, from the header
// of that name.
func (s *Server) jobKey(r *http.Request) (model.RequestKey, *Problem) {
	key := model.RequestKey{
		Template: model.TemplateID{Workspace: r.PathValue("workspace"), Name: r.PathValue("template")},
		ID:       r.PathValue("id"),
	}
	if p := checkTemplateID(key.Template, ""); p != nil {
		return key, p
	}
	if p := checkID(key.ID, "id"); p != nil {
		return key, p
	}
	key.OrderingKey = r.URL.Query().Get("ordering_key")
	if key.OrderingKey == "" {
		if t, ok := s.opts.Scheduler.Template(key.Template); ok && t.OrderingKey != "" {
			key.OrderingKey = r.Header.Get(t.OrderingKey)
		}
	}
	if len(key.OrderingKey) > maxOrderingValueBytes {
		return key, badField("ordering_key", "must have at most 256 bytes")
	}
	return key, nil
}

func checkTemplateID(t model.TemplateID, prefix string) *Problem {
	const rule = "must be 1 to 63 characters of a-z, 0-9 and inner hyphens"
	if !settings.ValidName(t.Workspace) {
		return badField(prefix+"workspace", rule)
	}
	if !settings.ValidName(t.Name) {
		return badField(prefix+"template", rule)
	}
	return nil
}

// findJob returns the status of the job in the path. If it returns false, it has
// written the response.
func (s *Server) findJob(w http.ResponseWriter, r *http.Request) (model.JobStatus, bool) {
	key, p := s.jobKey(r)
	if p != nil {
		writeProblem(w, p)
		return model.JobStatus{}, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	status, found, err := s.opts.Scheduler.Status(ctx, key)
	switch {
	case err != nil && !errors.Is(err, ErrMayHaveRun):
		writeProblem(w, schedulerProblem(err))
		return status, false
	case !found:
		// No outcome header, because the job may have run and its record expired.
		writeProblem(w, newProblem(http.StatusNotFound, codeNotFound, "no record of this request"))
		return status, false
	}
	w.Header().Set(HeaderIdempotencyKey, key.ID)
	if status.State == model.JobDone && status.Outcome != "" {
		w.Header().Set(HeaderOutcome, string(status.Outcome))
	}
	return status, true
}

// schedulerProblem returns the problem for a scheduler call that failed.
func schedulerProblem(err error) *Problem {
	p := newProblem(http.StatusServiceUnavailable, model.ReasonNoOwner, err.Error())
	p.retryAfter = pollRetryAfter
	return p
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request) {
	if status, ok := s.findJob(w, r); ok {
		writeJSON(w, http.StatusOK, status)
	}
}

// getAnswer responds with the answer of a finished job, or with 202 and the status
// of an unfinished one.
func (s *Server) getAnswer(w http.ResponseWriter, r *http.Request) {
	status, ok := s.findJob(w, r)
	switch {
	case !ok:
	case status.State != model.JobDone:
		setRetryAfter(w.Header(), pollRetryAfter)
		writeJSON(w, http.StatusAccepted, status)
	case status.Outcome == model.OutcomeRan && status.Answer != nil && status.Answer.Status != 0:
		writeAnswer(w, *status.Answer)
	default:
		reply := model.Reply{Outcome: status.Outcome, Reason: status.Reason}
		if reply.Outcome == "" {
			reply.Outcome = model.OutcomeUnknown
		}
		writeProblem(w, replyProblem(status.Key.ID, reply, false))
	}
}

func (s *Server) postCancel(w http.ResponseWriter, r *http.Request) {
	key, p := s.jobKey(r)
	if p != nil {
		writeProblem(w, p)
		return
	}
	results, p := s.cancel(r.Context(), []model.RequestKey{key})
	switch {
	case p != nil:
		writeProblem(w, p)
	case !results[0].Found:
		writeProblem(w, newProblem(http.StatusNotFound, codeNotFound, "no record of this request"))
	default:
		w.Header().Set(HeaderIdempotencyKey, key.ID)
		if results[0].Outcome != "" {
			w.Header().Set(HeaderOutcome, string(results[0].Outcome))
		}
		writeJSON(w, http.StatusOK, results[0])
	}
}

// cancel cancels the requests. It returns a problem unless the scheduler returns one
// result for each key.
func (s *Server) cancel(ctx context.Context, keys []model.RequestKey) ([]model.CancelResult, *Problem) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	results, err := s.opts.Scheduler.Cancel(ctx, keys)
	if err != nil {
		return nil, schedulerProblem(err)
	}
	if len(results) != len(keys) {
		return nil, newProblem(http.StatusInternalServerError, codeInternal, "some requests were not answered for; cancel again")
	}
	return results, nil
}
