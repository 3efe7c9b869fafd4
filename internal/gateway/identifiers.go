package gateway

import (
	"fmt"
	"net/http"

	"github.com/agateyard/agateyard/internal/model"
)

// MaxIdentifiers is the number of identifiers that one call returns at most.
const MaxIdentifiers = 1000

// IdentifiersRequest is the body of POST /v1/identifiers.
type IdentifiersRequest struct {
	Workspace   string `json:"workspace"`
	Template    string `json:"template"`
	OrderingKey string `json:"ordering_key,omitempty"`
	Count       int    `json:"count,omitempty"` // 1 where 0
}

// IdentifiersResponse is the answer.
type IdentifiersResponse struct {
	Identifiers []string `json:"identifiers"`
}

func (s *Server) postIdentifiers(w http.ResponseWriter, r *http.Request) {
	var body IdentifiersRequest
	if p := readJSON(w, r, maxSmallBodyBytes, &body); p != nil {
		writeProblem(w, p)
		return
	}
	if p := s.checkIdentifiers(&body); p != nil {
		writeProblem(w, p)
		return
	}
	t := model.TemplateID{Workspace: body.Workspace, Name: body.Template}
	out := IdentifiersResponse{Identifiers: make([]string, body.Count)}
	for i := range out.Identifiers {
		out.Identifiers[i] = s.opts.Scheduler.GenerateID(t, body.OrderingKey)
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) checkIdentifiers(body *IdentifiersRequest) *Problem {
	if body.Count == 0 {
		body.Count = 1
	}
	if body.Count < 0 || body.Count > MaxIdentifiers {
		return badField("count", fmt.Sprintf("must be 1 to %d", MaxIdentifiers))
	}
	if len(body.OrderingKey) > maxOrderingValueBytes {
		return badField("ordering_key", "must have at most 256 bytes")
	}
	t := model.TemplateID{Workspace: body.Workspace, Name: body.Template}
	if p := checkTemplateID(t, ""); p != nil {
		return p
	}
	var in incoming
	if p := s.findTemplate(&in, t); p != nil {
		return p
	}
	if in.template.OrderingKey != "" && body.OrderingKey == "" {
		return badField("ordering_key", "is required by the template")
	}
	return nil
}
