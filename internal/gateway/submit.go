package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
)

const (
	// submitMargin is added to the longest wait and run before a submission that
	// the scheduler does not answer is given up as unknown.
	submitMargin = 15 * time.Second
	// acceptTimeout bounds the wait for an acceptance, which needs one journal write.
	acceptTimeout = 15 * time.Second
	// pausedRetry and notReadyRetry are the Retry-After of refusals by the gateway.
	pausedRetry   = 30 * time.Second
	notReadyRetry = time.Second
	busyRetry     = time.Second
)

// postRequest runs a request and returns the endpoint's whole answer.
func (s *Server) postRequest(w http.ResponseWriter, r *http.Request) {
	in, p := s.readSubmission(w, r, false)
	if p != nil {
		s.refuse(w, r, in, p)
		return
	}
	defer s.budget.release(in.reserved)
	ctx, cancel := context.WithTimeout(r.Context(), submitLimit(in.template, in.submission.MaxWait))
	defer cancel()
	reply := s.opts.Scheduler.Submit(ctx, in.submission)
	s.writeReply(w, in, reply, ctx.Err() != nil)
}

// postJob records work and returns its identifier.
func (s *Server) postJob(w http.ResponseWriter, r *http.Request) {
	in, p := s.readSubmission(w, r, true)
	if p != nil {
		s.refuse(w, r, in, p)
		return
	}
	defer s.budget.release(in.reserved)
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	reply := s.opts.Scheduler.Submit(ctx, in.submission)
	if !reply.Accepted {
		s.writeReply(w, in, reply, ctx.Err() != nil)
		return
	}
	key := in.submission.Key
	location := jobPath(key)
	w.Header().Set("Location", location)
	w.Header().Set(HeaderIdempotencyKey, key.ID)
	if reply.Joined {
		w.Header().Set(HeaderJoined, "true")
	}
	writeJSON(w, http.StatusAccepted, Acceptance{ID: key.ID, Location: location})
}

// Acceptance is the body of a 202 answer.
type Acceptance struct {
	ID       string `json:"id"`
	Location string `json:"location"`
}

// jobPath returns the path of a job. The ordering key is part of it, because the
// shard can't be found without.
func jobPath(k model.RequestKey) string {
	path := "/v1/workspaces/" + url.PathEscape(k.Template.Workspace) +
		"/templates/" + url.PathEscape(k.Template.Name) + "/jobs/" + url.PathEscape(k.ID)
	if k.OrderingKey != "" {
		path += "?ordering_key=" + url.QueryEscape(k.OrderingKey)
	}
	return path
}

// submitLimit is the longest time that a synchronous submission may take.
func submitLimit(t model.Template, maxWait time.Duration) time.Duration {
	attempts := time.Duration(1 + t.RetryLimit)
	return maxWait + attempts*t.RunLimit + submitMargin
}

// incoming is a submission as far as it could be read.
type incoming struct {
	template   model.Template
	submission model.Submission
	supplied   bool  // the caller gave the identifier
	hasKey     bool  // the request key is complete
	reserved   int64 // bytes of the budget; released by the caller
}

// readSubmission checks an HTTP request and reads its body. With a problem, no
// budget stays reserved.
func (s *Server) readSubmission(w http.ResponseWriter, r *http.Request, async bool) (*incoming, *Problem) {
	in := &incoming{}
	id := model.TemplateID{Workspace: r.PathValue("workspace"), Name: r.PathValue("template")}
	in.submission = model.Submission{
		Key:         model.RequestKey{Template: id},
		Async:       async,
		ContentType: r.Header.Get("Content-Type"),
	}
	given, p := readID(r)
	if p != nil {
		return in, p
	}
	in.submission.Key.ID, in.supplied = given, given != ""
	if p := s.findTemplate(in, id); p != nil {
		return in, p
	}
	if p := s.checkHeaders(in, r); p != nil {
		return in, p
	}
	if p := s.readBody(w, r, in); p != nil {
		return in, p
	}
	if p := s.completeKey(in, r); p != nil {
		s.budget.release(in.reserved)
		in.reserved = 0
		return in, p
	}
	return in, nil
}

func (s *Server) findTemplate(in *incoming, id model.TemplateID) *Problem {
	t, ok := s.opts.Scheduler.Template(id)
	if ok {
		in.template = t
		return nil
	}
	if err := s.opts.Scheduler.Ready(); err != nil {
		// Without a configuration the process can't tell which templates exist.
		p := newProblem(http.StatusServiceUnavailable, codeNotReady, err.Error())
		p.retryAfter = notReadyRetry
		return p
	}
	p := newProblem(http.StatusNotFound, model.ReasonUnknownTemplate, "no template "+id.String())
	p.Field = "template"
	if !settings.ValidName(id.Workspace) {
		p.Field = "workspace"
	}
	return p
}

func (s *Server) checkHeaders(in *incoming, r *http.Request) *Problem {
	if !in.submission.Async && in.template.Kind != model.KindRequest {
		p := newProblem(http.StatusUnprocessableEntity, codeInvalid,
			fmt.Sprintf("work of kind %s is submitted to .../jobs, which answers at once", in.template.Kind))
		p.Field = "template"
		return p
	}
	if encoding := r.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		// The header does not reach the endpoint, which would read the body as it is.
		p := newProblem(http.StatusUnsupportedMediaType, codeMedia, "the body must not be encoded")
		p.Field = "Content-Encoding"
		return p
	}
	if in.supplied && !in.template.Idempotent {
		if p := checkMinted(in.submission.Key.ID, s.opts.Now(), s.opts.Retention); p != nil {
			return p
		}
	}
	wait, p := maxWait(r, in.template.MaxWait)
	in.submission.MaxWait = wait
	return p
}

// maxWait returns the time that the work may wait: the template's or a shorter
// one that the caller asks for.
func maxWait(r *http.Request, limit time.Duration) (time.Duration, *Problem) {
	values := r.Header.Values(HeaderMaxWait)
	if len(values) == 0 {
		return limit, nil
	}
	wait, err := time.ParseDuration(values[0])
	if err != nil || wait <= 0 || len(values) > 1 {
		return 0, badField(HeaderMaxWait, `must be given once, a positive duration such as "800ms" or "2s"`)
	}
	return min(wait, limit), nil
}

// bodyLimit is the largest body of a submission.
func (s *Server) bodyLimit(in *incoming) int64 {
	limit := min(in.template.MaxBodyBytes, s.opts.Limits.MaxBodyBytes)
	if in.submission.Async {
		limit = min(limit, int64(s.opts.Limits.JournalBodyBytes))
	}
	return limit
}

// readBody reads the body within its limit and the budget of this process.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, in *incoming) *Problem {
	limit := s.bodyLimit(in)
	if r.ContentLength > limit {
		return tooLarge(limit)
	}
	size := limit
	if r.ContentLength >= 0 {
		size = r.ContentLength
	}
	if !s.budget.take(size) {
		p := newProblem(http.StatusServiceUnavailable, codeBusy, "this process holds as many requests as it may")
		p.retryAfter = busyRetry
		return p
	}
	body, err := readAll(w, r, limit)
	if err != nil {
		s.budget.release(size)
		return bodyProblem(err, limit)
	}
	s.budget.shrink(size - int64(len(body)))
	in.reserved = int64(len(body))
	in.submission.Body = body
	return nil
}

func bodyProblem(err error, limit int64) *Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(limit)
	}
	p := newProblem(http.StatusRequestTimeout, codeInvalid, "the body did not arrive in full")
	p.Field = "body"
	return p
}

func tooLarge(limit int64) *Problem {
	p := newProblem(http.StatusRequestEntityTooLarge, codeTooLarge, fmt.Sprintf("the body may have at most %d bytes", limit))
	p.Field = "body"
	return p
}

// completeKey adds the ordering key and, where the caller gave none, an
// identifier. New work of a paused template is refused here, when the key is
// known; a caller that sends a known request again still gets its answer.
func (s *Server) completeKey(in *incoming, r *http.Request) *Problem {
	key := &in.submission.Key
	value, p := orderingKey(in.template.OrderingKey, r.Header, in.submission.Body)
	if p != nil {
		return p
	}
	key.OrderingKey = value
	in.hasKey = true
	if s.opts.ConfigCache.Paused(key.Template) && !s.sentBefore(r.Context(), in) {
		p := newProblem(http.StatusServiceUnavailable, codePaused, "an operator paused the template")
		p.retryAfter = pausedRetry
		return p
	}
	if !in.supplied {
		key.ID = s.opts.Scheduler.GenerateID(key.Template, key.OrderingKey)
	}
	return nil
}

// refuse answers a submission that the gateway does not pass on. This sending
// did not run. Where the caller may have sent the identifier before, the outcome
// is that of the earlier sending: not-run would make the caller repeat it.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, in *incoming, p *Problem) {
	s.metrics.refused.WithLabelValues(string(p.Reason)).Inc()
	if in.supplied {
		p.ID = in.submission.Key.ID
	}
	if p.Outcome == "" && s.settleRefusal(w, r, in, p) {
		return
	}
	s.record("refused", p.ID, p.Outcome, p.Reason)
	writeProblem(w, p)
}

// settleRefusal sets the outcome of a refusal. It returns true when it answered
// the caller with the answer of the earlier sending.
func (s *Server) settleRefusal(w http.ResponseWriter, r *http.Request, in *incoming, p *Problem) bool {
	status, found, err := s.earlier(r.Context(), in)
	switch {
	case err != nil:
		p.Outcome = model.OutcomeUnknown
	case !found:
		p.Outcome = model.OutcomeNotRun
	case status.State != model.JobDone || status.Outcome == "":
		p.Outcome = model.OutcomeUnknown
	case p.Reason == model.ReasonUnknownTemplate && status.Answer != nil && status.Answer.Status != 0:
		// The template was removed after the request ran.
		w.Header().Set(HeaderIdempotencyKey, p.ID)
		w.Header().Set(HeaderJoined, "true")
		s.record("answered", p.ID, model.OutcomeRan, "")
		writeAnswer(w, *status.Answer)
		return true
	default:
		p.Outcome = status.Outcome
	}
	return false
}

// earlier returns the status of an earlier sending of the identifier.
func (s *Server) earlier(ctx context.Context, in *incoming) (model.JobStatus, bool, error) {
	known := in.hasKey || in.template.OrderingKey == ""
	if !in.supplied || !known {
		return model.JobStatus{}, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return s.opts.Scheduler.Status(ctx, in.submission.Key)
}

// sentBefore reports whether the shard owner knows the request.
func (s *Server) sentBefore(ctx context.Context, in *incoming) bool {
	_, found, err := s.earlier(ctx, in)
	return err == nil && found
}

// writeReply sends the final answer of a submission.
func (s *Server) writeReply(w http.ResponseWriter, in *incoming, reply model.Reply, timedOut bool) {
	if reply.Outcome == "" {
		reply.Outcome = model.OutcomeUnknown
	}
	h := w.Header()
	h.Set(HeaderIdempotencyKey, in.submission.Key.ID)
	if reply.Joined {
		h.Set(HeaderJoined, "true")
	}
	s.metrics.outcomes.WithLabelValues(string(reply.Outcome), string(reply.Reason)).Inc()
	s.record("answered", in.submission.Key.ID, reply.Outcome, reply.Reason)
	if reply.Outcome == model.OutcomeRan && reply.Answer.Status != 0 {
		writeAnswer(w, reply.Answer)
		return
	}
	writeProblem(w, replyProblem(in.submission.Key.ID, reply, timedOut))
}

// writeAnswer passes the endpoint's answer on.
func writeAnswer(w http.ResponseWriter, a model.Answer) {
	h := w.Header()
	h.Set(HeaderOutcome, string(model.OutcomeRan))
	h.Set("Cache-Control", "no-store")
	h.Set("X-Content-Type-Options", "nosniff")
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	} else {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	status := a.Status
	if status < 200 || status > 599 {
		status = http.StatusBadGateway
	}
	send(w, status, a.Body)
}

// replyProblem is the problem of a reply without an answer to pass on.
func replyProblem(id string, reply model.Reply, timedOut bool) *Problem {
	reason := reply.Reason
	switch {
	case reason != "":
	case reply.Outcome == model.OutcomeRan:
		reason = codeNoAnswer
	case timedOut:
		reason = codeTimeout
	default:
		reason = codeInternal
	}
	p := newProblem(replyStatus(reply.Outcome, reason, timedOut), reason, reply.Detail)
	p.Outcome = reply.Outcome
	p.ID = id
	p.retryAfter = reply.RetryAfter
	return p
}

func itoa(n int) string { return strconv.Itoa(n) }
