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
	// submitMargin is added to the maximum wait and run times. If the scheduler has
	// not replied by then, the outcome of the submission is reported as unknown.
	submitMargin = 15 * time.Second
	// acceptTimeout is the time limit for accepting asynchronous work, which needs one
	// journal write.
	acceptTimeout = 15 * time.Second
	// pausedRetryAfter, notReadyRetryAfter and busyRetryAfter are the Retry-After of
	// refusals by the gateway.
	pausedRetryAfter   = 30 * time.Second
	notReadyRetryAfter = time.Second
	busyRetryAfter     = time.Second
)

// postRequest runs a request and responds with the endpoint's whole answer.
func (s *Server) postRequest(w http.ResponseWriter, r *http.Request) {
	in, p := s.readSubmission(w, r, false)
	if p != nil {
		s.refuse(w, r, in, p)
		return
	}
	defer s.budget.release(in.reservedBytes)
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout(in.template, in.submission.MaxWait))
	defer cancel()
	reply := s.opts.Scheduler.Submit(ctx, in.submission)
	s.writeReply(w, in, reply, ctx.Err() != nil)
}

// postJob submits asynchronous work and responds with its identifier.
func (s *Server) postJob(w http.ResponseWriter, r *http.Request) {
	in, p := s.readSubmission(w, r, true)
	if p != nil {
		s.refuse(w, r, in, p)
		return
	}
	defer s.budget.release(in.reservedBytes)
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

// Acceptance is the body of a 202 response.
type Acceptance struct {
	ID       string `json:"id"`
	Location string `json:"location"`
}

// jobPath returns the path of a job. It includes the ordering key, which is needed to
// find the shard.
func jobPath(k model.RequestKey) string {
	path := "/v1/workspaces/" + url.PathEscape(k.Template.Workspace) +
		"/templates/" + url.PathEscape(k.Template.Name) + "/jobs/" + url.PathEscape(k.ID)
	if k.OrderingKey != "" {
		path += "?ordering_key=" + url.QueryEscape(k.OrderingKey)
	}
	return path
}

// submitTimeout returns the time limit of a synchronous submission.
func submitTimeout(t model.Template, maxWait time.Duration) time.Duration {
	attempts := time.Duration(1 + t.RetryLimit)
	return maxWait + attempts*t.RunLimit + submitMargin
}

// incoming is a submission that may have been read only in part.
type incoming struct {
	template        model.Template
	submission      model.Submission
	idSupplied      bool  // the caller supplied the identifier
	orderingKeyRead bool  // the ordering key has been read
	reservedBytes   int64 // bytes reserved in the budget; released by the caller
}

// readSubmission checks an HTTP request and reads its body. If it returns a problem,
// nothing is reserved in the budget.
func (s *Server) readSubmission(w http.ResponseWriter, r *http.Request, async bool) (*incoming, *Problem) {
	in := &incoming{}
	id := model.TemplateID{Workspace: r.PathValue("workspace"), Name: r.PathValue("template")}
	in.submission = model.Submission{
		Key:         model.RequestKey{Template: id},
		Async:       async,
		ContentType: r.Header.Get("Content-Type"),
	}
	suppliedID, p := readID(r)
	if p != nil {
		return in, p
	}
	in.submission.Key.ID, in.idSupplied = suppliedID, suppliedID != ""
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
		s.budget.release(in.reservedBytes)
		in.reservedBytes = 0
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
		// A process that is not ready may have no configuration, so it can't tell
		// whether the template exists.
		p := newProblem(http.StatusServiceUnavailable, codeNotReady, err.Error())
		p.retryAfter = notReadyRetryAfter
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
		// Content-Encoding is not forwarded, so the endpoint would read the encoded
		// body as plain.
		p := newProblem(http.StatusUnsupportedMediaType, codeUnsupportedEncoding, "the body must not be encoded")
		p.Field = "Content-Encoding"
		return p
	}
	if in.idSupplied && !in.template.Idempotent {
		if p := checkUUIDv7(in.submission.Key.ID, s.opts.Now(), s.opts.Retention); p != nil {
			return p
		}
	}
	wait, p := maxWait(r, in.template.MaxWait)
	in.submission.MaxWait = wait
	return p
}

// maxWait returns the maximum wait time of the work: the limit of the template, or a
// shorter one that the caller requests.
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

// bodyLimit returns the maximum body size of a submission.
func (s *Server) bodyLimit(in *incoming) int64 {
	limit := min(in.template.MaxBodyBytes, s.opts.Limits.MaxBodyBytes)
	if in.submission.Async {
		limit = min(limit, int64(s.opts.Limits.JournalBodyBytes))
	}
	return limit
}

// readBody reads the body, subject to its size limit and the budget of this process.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, in *incoming) *Problem {
	limit := s.bodyLimit(in)
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	size := limit
	if r.ContentLength >= 0 {
		size = r.ContentLength
	}
	if !s.budget.reserve(size) {
		p := newProblem(http.StatusServiceUnavailable, codeBusy, "this process holds as many requests as it may")
		p.retryAfter = busyRetryAfter
		return p
	}
	body, err := readAll(w, r, limit)
	if err != nil {
		s.budget.release(size)
		return bodyProblem(err, limit)
	}
	s.budget.shrink(size - int64(len(body)))
	in.reservedBytes = int64(len(body))
	in.submission.Body = body
	return nil
}

func bodyProblem(err error, limit int64) *Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return bodyTooLarge(limit)
	}
	p := newProblem(http.StatusRequestTimeout, codeInvalid, "the body did not arrive in full")
	p.Field = "body"
	return p
}

func bodyTooLarge(limit int64) *Problem {
	p := newProblem(http.StatusRequestEntityTooLarge, codeTooLarge, fmt.Sprintf("the body may have at most %d bytes", limit))
	p.Field = "body"
	return p
}

// completeKey sets the ordering key and, if the caller supplied no identifier,
// generates one. It also refuses new work of a paused template. This needs the
// ordering key, because a resubmission of a known request must still get its answer.
func (s *Server) completeKey(in *incoming, r *http.Request) *Problem {
	key := &in.submission.Key
	value, p := orderingKey(in.template.OrderingKey, r.Header, in.submission.Body)
	if p != nil {
		return p
	}
	key.OrderingKey = value
	in.orderingKeyRead = true
	if s.opts.ConfigCache.Paused(key.Template) && !s.alreadySubmitted(r.Context(), in) {
		p := newProblem(http.StatusServiceUnavailable, codePaused, "an operator paused the template")
		p.retryAfter = pausedRetryAfter
		return p
	}
	if !in.idSupplied {
		key.ID = s.opts.Scheduler.GenerateID(key.Template, key.OrderingKey)
	}
	return nil
}

// refuse responds to a submission that the gateway does not forward to the scheduler.
// This submission did not run, but an earlier one with the same identifier may have. If
// the shard owner has a record of that one, the outcome is the one in the record, or
// unknown if it has none yet. If the owner is not known or can't be reached, the
// outcome is unknown:
// "not-run" could make the caller run the work a second time. Otherwise it is "not-run".
// An outcome that the problem already has is kept.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, in *incoming, p *Problem) {
	s.metrics.refused.WithLabelValues(string(p.Reason)).Inc()
	if in.idSupplied {
		p.ID = in.submission.Key.ID
	}
	if p.Outcome == "" && s.resolveRefusal(w, r, in, p) {
		return
	}
	s.recordEvent("refused", p.ID, p.Outcome, p.Reason)
	writeProblem(w, p)
}

// resolveRefusal sets the outcome of a refusal. It returns true if it has instead
// responded with the answer to the earlier submission.
func (s *Server) resolveRefusal(w http.ResponseWriter, r *http.Request, in *incoming, p *Problem) bool {
	status, found, err := s.previousStatus(r.Context(), in)
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
		s.recordEvent("answered", p.ID, model.OutcomeRan, "")
		writeAnswer(w, *status.Answer)
		return true
	default:
		p.Outcome = status.Outcome
	}
	return false
}

// errShardNotKnown means that no shard owner can be asked for an earlier submission,
// because the ordering key of the request has not been read.
var errShardNotKnown = errors.New("the ordering key has not been read")

// previousStatus returns the status of an earlier submission with the same identifier.
// It returns false if the caller supplied no identifier. If the template is not known,
// it may have had an ordering key, so only a record that is found says anything.
func (s *Server) previousStatus(ctx context.Context, in *incoming) (model.JobStatus, bool, error) {
	if !in.idSupplied {
		return model.JobStatus{}, false, nil
	}
	if !in.orderingKeyRead && in.template.OrderingKey != "" {
		return model.JobStatus{}, false, errShardNotKnown
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, found, err := s.opts.Scheduler.Status(ctx, in.submission.Key)
	if err == nil && !found && in.template.Kind == "" {
		err = errShardNotKnown
	}
	return status, found, err
}

// alreadySubmitted reports whether the shard owner has a record of the request.
func (s *Server) alreadySubmitted(ctx context.Context, in *incoming) bool {
	_, found, err := s.previousStatus(ctx, in)
	return err == nil && found
}

// writeReply sends the final reply to a submission.
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
	s.recordEvent("answered", in.submission.Key.ID, reply.Outcome, reply.Reason)
	if reply.Outcome == model.OutcomeRan && reply.Answer.Status != 0 {
		writeAnswer(w, reply.Answer)
		return
	}
	writeProblem(w, replyProblem(in.submission.Key.ID, reply, timedOut))
}

// writeAnswer forwards the endpoint's answer.
func writeAnswer(w http.ResponseWriter, a model.Answer) {
	h := w.Header()
	h.Set(HeaderOutcome, string(model.OutcomeRan))
	h.Set("Cache-Control", "no-store")
	h.Set("X-Content-Type-Options", "nosniff")
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	} else {
		h["Content-Type"] = nil // prevents net/http from detecting a type
	}
	status := a.Status
	if status < 200 || status > 599 {
		status = http.StatusBadGateway
	}
	send(w, status, a.Body)
}

// replyProblem returns the problem for a reply that has no endpoint answer to forward.
func replyProblem(id string, reply model.Reply, timedOut bool) *Problem {
	reason := reply.Reason
	switch {
	case reason != "":
	case reply.Outcome == model.OutcomeRan:
		reason = codeAnswerNotKept
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
