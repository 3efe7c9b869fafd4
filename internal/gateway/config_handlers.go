package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/template"
)

const (
	// applyTimeout leaves time to determine the outcome of a write whose reply was
	// lost, and is still short enough for an operator to wait for.
	applyTimeout = 8 * time.Second
	// storeRetryAfter is the Retry-After of responses while the store fails, or if the
	// outcome of a write is unknown.
	storeRetryAfter = 2 * time.Second
)

// AppliedChange is the response to a configuration change.
type AppliedChange struct {
	Document string `json:"document"`
	Revision uint64 `json:"revision"`
	Change   string `json:"change"` // identifier of the change; submitting the change again with it has no effect
}

// WorkspaceDocument is the response of GET /v1/config/workspaces/{workspace}.
type WorkspaceDocument struct {
	Workspace string    `json:"workspace"`
	Revision  uint64    `json:"revision"`
	Author    string    `json:"author"`
	At        time.Time `json:"at"`
	Note      string    `json:"note,omitempty"`
	Source    string    `json:"source"` // TOML
	// Cached means that the store did not respond and that this is the revision in
	// force at the responding process.
	Cached bool `json:"cached,omitempty"`
}

// HistoryResponse lists the revisions, starting with the one in force.
type HistoryResponse struct {
	Revisions []WorkspaceDocument `json:"revisions"`
}

// CellDocument is the response of GET /v1/config/drains.
type CellDocument struct {
	Revision uint64                       `json:"revision"`
	Author   string                       `json:"author,omitempty"`
	At       time.Time                    `json:"at,omitzero"`
	Drained  map[string]configstore.Drain `json:"drained"`
	Paused   []model.TemplateID           `json:"paused"`
	Cached   bool                         `json:"cached,omitempty"`
}

// WorkspaceList is the response of GET /v1/config/workspaces.
type WorkspaceList struct {
	Workspaces []WorkspaceSummary `json:"workspaces"`
}

// WorkspaceSummary is a workspace as in force at the responding process.
type WorkspaceSummary struct {
	Workspace string           `json:"workspace"`
	Revision  uint64           `json:"revision"`
	Templates []model.Template `json:"templates"`
}

func (s *Server) listWorkspaces(w http.ResponseWriter, _ *http.Request) {
	list := WorkspaceList{Workspaces: []WorkspaceSummary{}}
	revisions := s.opts.ConfigCache.Revisions()
	index := map[string]int{}
	for _, name := range sortedKeys(revisions) {
		workspace, ok := strings.CutPrefix(name, configstore.WorkspaceName(""))
		if !ok {
			continue
		}
		index[workspace] = len(list.Workspaces)
		list.Workspaces = append(list.Workspaces, WorkspaceSummary{Workspace: workspace, Revision: revisions[name], Templates: []model.Template{}})
	}
	for _, t := range s.opts.ConfigCache.Templates() {
		if i, ok := index[t.ID.Workspace]; ok {
			list.Workspaces[i].Templates = append(list.Workspaces[i].Templates, t)
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) getWorkspace(w http.ResponseWriter, r *http.Request) {
	workspace := r.PathValue("workspace")
	d, cached, p := s.readDocument(r.Context(), workspaceDocumentName(workspace))
	if p != nil {
		writeProblem(w, p)
		return
	}
	setRevision(w, d.Revision)
	if strings.HasPrefix(r.Header.Get("Accept"), mediaTOML) {
		w.Header().Set("Content-Type", mediaTOML)
		send(w, http.StatusOK, []byte(d.Source))
		return
	}
	writeJSON(w, http.StatusOK, newWorkspaceDocument(workspace, d, cached))
}

// workspaceDocumentName returns the document name of a workspace, or "" if the
// workspace name is not valid.
func workspaceDocumentName(workspace string) string {
	if !settings.ValidName(workspace) {
		return ""
	}
	return configstore.WorkspaceName(workspace)
}

func newWorkspaceDocument(workspace string, d configstore.Document, cached bool) WorkspaceDocument {
	return WorkspaceDocument{
		Workspace: workspace, Revision: d.Revision, Author: d.Author, At: d.At, Note: d.Note,
		Source: d.Source, Cached: cached,
	}
}

// readDocument reads a document from the store. If the store is unavailable, it
// returns the revision in force at this process, if there is one, and true.
func (s *Server) readDocument(ctx context.Context, name string) (configstore.Document, bool, *Problem) {
	if name == "" {
		return configstore.Document{}, false, badField("workspace", "is not a valid name")
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	d, err := s.opts.Config.Get(ctx, name)
	switch {
	case err == nil:
		return d, false, nil
	case errors.Is(err, configstore.ErrNoDocument):
		return d, false, newProblem(http.StatusNotFound, codeNotFound, "there is no document "+name)
	}
	if d, ok := s.opts.ConfigCache.Document(name); ok {
		return d, true, nil
	}
	return d, false, storeProblem(err)
}

func storeProblem(err error) *Problem {
	p := newProblem(http.StatusServiceUnavailable, codeUnavailable, err.Error())
	p.retryAfter = storeRetryAfter
	return p
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	workspace := r.PathValue("workspace")
	name := workspaceDocumentName(workspace)
	if name == "" {
		writeProblem(w, badField("workspace", "is not a valid name"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()
	revisions, err := s.opts.Config.History(ctx, name)
	if errors.Is(err, configstore.ErrNoDocument) {
		writeProblem(w, newProblem(http.StatusNotFound, codeNotFound, "there is no document "+name))
		return
	}
	if err != nil {
		writeProblem(w, storeProblem(err))
		return
	}
	response := HistoryResponse{Revisions: []WorkspaceDocument{}}
	for _, d := range revisions {
		response.Revisions = append(response.Revisions, newWorkspaceDocument(workspace, d, false))
	}
	writeJSON(w, http.StatusOK, response)
}

func (s *Server) putWorkspace(w http.ResponseWriter, r *http.Request) {
	c, p := s.readChange(r)
	if p != nil {
		writeProblem(w, p)
		return
	}
	if c.Name = workspaceDocumentName(r.PathValue("workspace")); c.Name == "" {
		writeProblem(w, badField("workspace", "is not a valid name"))
		return
	}
	source, err := readAll(w, r, template.MaxSourceBytes)
	if err != nil {
		writeProblem(w, bodyProblem(err, template.MaxSourceBytes))
		return
	}
	c.Source = string(source)
	s.applyChange(w, r, c)
}

func (s *Server) getDrains(w http.ResponseWriter, r *http.Request) {
	d, cached, p := s.readDocument(r.Context(), configstore.CellName)
	if p != nil && p.Status != http.StatusNotFound {
		writeProblem(w, p)
		return
	}
	setRevision(w, d.Revision) // 0 before the first change
	response := CellDocument{
		Revision: d.Revision, Author: d.Author, At: d.At,
		Drained: d.Drained, Paused: d.Paused, Cached: cached,
	}
	if response.Drained == nil {
		response.Drained = map[string]configstore.Drain{}
	}
	if response.Paused == nil {
		response.Paused = []model.TemplateID{}
	}
	writeJSON(w, http.StatusOK, response)
}

func (s *Server) postDrains(w http.ResponseWriter, r *http.Request) {
	c, p := s.readChange(r)
	if p != nil {
		writeProblem(w, p)
		return
	}
	var edit configstore.CellEdit
	if p := readJSON(w, r, maxSmallBodyBytes, &edit); p != nil {
		writeProblem(w, p)
		return
	}
	c.Name, c.Cell = configstore.CellName, &edit
	s.applyChange(w, r, c)
}

// readChange reads the headers of a configuration change.
func (s *Server) readChange(r *http.Request) (configstore.Change, *Problem) {
	c := configstore.Change{
		Author: r.Header.Get(HeaderAuthor),
		Note:   r.Header.Get(HeaderNote),
		At:     s.opts.Now().UTC(),
	}
	if c.Author == "" {
		return c, badField(HeaderAuthor, "is required")
	}
	id, p := readID(r)
	if p != nil {
		return c, p
	}
	if id == "" {
		id = uuid.NewString()
	}
	c.ID = id
	c.IfRevision, p = requiredRevision(r)
	return c, p
}

// requiredRevision returns the revision that must be in force for the change to be
// applied, or 0 if the document must not exist yet.
func requiredRevision(r *http.Request) (uint64, *Problem) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case match == "" && none == "":
		p := newProblem(http.StatusPreconditionRequired, codePrecondition,
			`If-Match with the revision that the change is based on is required; If-None-Match: * for a new document`)
		p.Field = "If-Match"
		return 0, p
	case match != "" && none != "":
		return 0, badField("If-None-Match", "excludes If-Match")
	case none == "*":
		return 0, nil
	case none != "":
		return 0, badField("If-None-Match", "must be *")
	}
	revision, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return 0, badField("If-Match", `must be one revision, such as "7"`)
	}
	return revision, nil
}

func setRevision(w http.ResponseWriter, revision uint64) {
	w.Header().Set("ETag", fmt.Sprintf(`"%d"`, revision))
}

// applyChange applies a change and writes the response.
func (s *Server) applyChange(w http.ResponseWriter, r *http.Request, c configstore.Change) {
	// The change continues even if the operator disconnects, so that its outcome is
	// determined although nobody receives the response.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), applyTimeout)
	defer cancel()
	w.Header().Set(HeaderIdempotencyKey, c.ID)
	revision, err := s.opts.Config.Apply(ctx, c)
	if err != nil {
		p := changeProblem(err)
		p.ID = c.ID
		if p.Conflict != nil {
			setRevision(w, p.Conflict.InForce)
		}
		writeProblem(w, p)
		return
	}
	s.opts.Log.WithField("document", c.Name).WithField("revision", revision).WithField("author", c.Author).
		Info("gateway: configuration changed")
	setRevision(w, revision)
	writeJSON(w, http.StatusOK, AppliedChange{Document: c.Name, Revision: revision, Change: c.ID})
}

// changeProblem maps the errors of Config.Apply to HTTP statuses: 412 if another
// revision is in force, 422 for an invalid file, 400 for an invalid field, 413 for a
// document that exceeds the store's limit, 504 for an unknown outcome and 503 if
// nothing was written.
func changeProblem(err error) *Problem {
	var conflict *configstore.ConflictError
	var findings settings.Findings
	var invalid *configstore.InvalidError
	var uncertain *configstore.UncertainError
	switch {
	case errors.As(err, &conflict):
		return conflictProblem(conflict)
	case errors.As(err, &findings):
		p := newProblem(http.StatusUnprocessableEntity, codeInvalidFile, fmt.Sprintf("the file has %d faults", len(findings)))
		p.Findings = findings
		return p
	case errors.As(err, &invalid):
		return badField(invalid.Field, invalid.Message)
	case errors.Is(err, configstore.ErrTooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, codeTooLarge, err.Error())
	case errors.As(err, &uncertain):
		p := newProblem(http.StatusGatewayTimeout, codeUncertain, err.Error()+"; send the change again with the same "+HeaderIdempotencyKey)
		p.Outcome = model.OutcomeUnknown
		p.retryAfter = storeRetryAfter
		return p
	default:
		p := storeProblem(err)
		p.Outcome = model.OutcomeNotRun
		return p
	}
}

func conflictProblem(e *configstore.ConflictError) *Problem {
	p := newProblem(http.StatusPreconditionFailed, codeConflict, e.Error())
	p.Conflict = &Conflict{
		Document: e.Name, IfRevision: e.IfRevision, InForce: e.InForce,
		Author: e.Author, At: e.At, Difference: e.Diff, Unsettled: e.Unsettled,
	}
	return p
}
