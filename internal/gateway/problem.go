package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
)

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`

	// Field is the name of the invalid header, path element, query parameter or body
	// field.
	Field   string        `json:"field,omitempty"`
	Reason  model.Reason  `json:"reason,omitempty"`
	Outcome model.Outcome `json:"outcome,omitempty"`
	ID      string        `json:"id,omitempty"` // identifier of the request

	Findings []settings.Finding `json:"findings,omitempty"` // errors in a configuration file
	Conflict *Conflict          `json:"conflict,omitempty"`

	retryAfter time.Duration
}

// Conflict describes the revision in force that a configuration change conflicts with.
type Conflict struct {
	Document   string    `json:"document"`
	IfRevision uint64    `json:"if_revision"`
	InForce    uint64    `json:"in_force"`
	Author     string    `json:"author"`
	At         time.Time `json:"at"`
	Difference string    `json:"difference"` // line diff: "-" in force, "+" in the change
	// Unsettled means that an earlier attempt of the same change may have been
	// applied and since been replaced.
	Unsettled bool `json:"unsettled,omitempty"`
}

// Error returns the title and the detail.
func (p *Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

// problemType is the prefix of the type of a problem; the rest is its code.
const problemType = "urn:agateyard:problem:"

// Problem codes that are not reasons given by the scheduler.
const (
	codeInvalid             model.Reason = "invalid-request"
	codeTooLarge            model.Reason = "too-large"
	codeHeaders             model.Reason = "headers-too-large"
	codeUnsupportedEncoding model.Reason = "unsupported-encoding"
	codeNotFound            model.Reason = "not-found"
	codeMethod              model.Reason = "method-not-allowed"
	codePaused              model.Reason = "paused"
	codeNotReady            model.Reason = "not-ready"
	codeBusy                model.Reason = "busy"
	codeInternal            model.Reason = "internal"
	codeConflict            model.Reason = "revision-conflict"
	codePrecondition        model.Reason = "precondition-required"
	codeUncertain           model.Reason = "write-uncertain"
	codeUnavailable         model.Reason = "store-unavailable"
	codeAnswerNotKept       model.Reason = "answer-not-kept"
	codeTimeout             model.Reason = "timeout"
	codeInvalidFile         model.Reason = "invalid-file"
)

func newProblem(status int, code model.Reason, detail string) *Problem {
	return &Problem{
		Type:   problemType + string(code),
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Reason: code,
	}
}

// badField returns the problem for an invalid part of the HTTP request.
func badField(field, detail string) *Problem {
	p := newProblem(http.StatusBadRequest, codeInvalid, detail)
	p.Field = field
	return p
}

// writeProblem sends the problem, with its main fields repeated as headers.
func writeProblem(w http.ResponseWriter, p *Problem) {
	h := w.Header()
	h.Set("Content-Type", mediaProblem)
	h.Set("Cache-Control", "no-store")
	if p.Reason != "" {
		h.Set(HeaderReason, string(p.Reason))
	}
	if p.Outcome != "" {
		h.Set(HeaderOutcome, string(p.Outcome))
	}
	if p.ID != "" {
		h.Set(HeaderIdempotencyKey, p.ID)
	}
	setRetryAfter(h, p.retryAfter)
	writeBody(w, p.Status, p)
}

// writeJSON sends a value as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", mediaJSON)
	w.Header().Set("Cache-Control", "no-store")
	writeBody(w, status, v)
}

func writeBody(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		// Only a programming error can lead to a value that can't be encoded.
		status, body = http.StatusInternalServerError, []byte(`{"title":"Internal Server Error","status":500}`)
	}
	send(w, status, append(body, '\n'))
}
