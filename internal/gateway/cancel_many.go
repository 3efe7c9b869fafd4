package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	// MaxCancels is the number of requests that one call may cancel.
	MaxCancels = 10_000
	// maxCancelBytes holds MaxCancels entries with the longest names and keys.
	maxCancelBytes = 8 << 20
	// maxSmallBodyBytes bounds the other JSON bodies.
	maxSmallBodyBytes = 1 << 20
)

// CancelManyRequest is the body of POST /v1/workspaces/{workspace}/cancel.
type CancelManyRequest struct {
	Requests []CancelEntry `json:"requests"`
}

// CancelEntry names one request.
type CancelEntry struct {
	Template    string `json:"template"`
	ID          string `json:"id"`
	OrderingKey string `json:"ordering_key,omitempty"`
}

// CancelResults is the answer, in the order of the entries.
type CancelResults struct {
	Results []model.CancelResult `json:"results"`
}

func (s *Server) postCancelMany(w http.ResponseWriter, r *http.Request) {
	var body CancelManyRequest
	if p := readJSON(w, r, maxCancelBytes, &body); p != nil {
		writeProblem(w, p)
		return
	}
	keys, p := cancelKeys(r.PathValue("workspace"), body.Requests)
	if p != nil {
		writeProblem(w, p)
		return
	}
	results, p := s.cancel(r.Context(), keys)
	if p != nil {
		writeProblem(w, p)
		return
	}
	writeJSON(w, http.StatusOK, CancelResults{Results: results})
}

func cancelKeys(workspace string, entries []CancelEntry) ([]model.RequestKey, *Problem) {
	if len(entries) == 0 || len(entries) > MaxCancels {
		return nil, badField("requests", fmt.Sprintf("must have 1 to %d entries", MaxCancels))
	}
	keys := make([]model.RequestKey, len(entries))
	for i, e := range entries {
		at := fmt.Sprintf("requests[%d].", i)
		t := model.TemplateID{Workspace: workspace, Name: e.Template}
		if p := checkTemplateID(t, at); p != nil {
			return nil, p
		}
		if p := checkID(e.ID, at+"id"); p != nil {
			return nil, p
		}
		if len(e.OrderingKey) > maxOrderingValueBytes {
			return nil, badField(at+"ordering_key", "must have at most 256 bytes")
		}
		keys[i] = model.RequestKey{Template: t, ID: e.ID, OrderingKey: e.OrderingKey}
	}
	return keys, nil
}

// readJSON decodes a body of at most limit bytes. Unknown fields and text after
// the value are refused.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) *Problem {
	if t := r.Header.Get("Content-Type"); t != "" && !isJSON(t) {
		p := newProblem(http.StatusUnsupportedMediaType, codeInvalid, "the body must be application/json")
		p.Field = "Content-Type"
		return p
	}
	body, err := readAll(w, r, limit)
	if err != nil {
		return bodyProblem(err, limit)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	err = dec.Decode(into)
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errAfterValue
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return badField(mismatch.Field, "must be "+mismatch.Type.String())
	}
	return badField("body", strings.TrimPrefix(err.Error(), "json: "))
}
