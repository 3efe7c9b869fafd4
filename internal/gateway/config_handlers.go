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
	// applyTimeout leaves time to settle a lost reply within an operator's patience.
	applyTimeout = 8 * time.Second
	storeRetry   = 2 * time.Second
)

// AppliedChange is the answer to a configuration change.
type AppliedChange struct {
	Document string `json:"document"`
	Revision uint64 `json:"revision"`
	Change   string `json:"change"` // identifier; sending it again changes nothing
}

// WorkspaceDocument is the answer of GET /v1/config/workspaces/{workspace}.
type WorkspaceDocument struct {
	Workspace string    `json:"workspace"`
	Revision  uint64    `json:"revision"`
	Author    string    `json:"author"`
	At        time.Time `json:"at"`
	Note      string    `json:"note,omitempty"`
	Source    string    `json:"source"` // TOML
	// Cached means that the store did not answer and that this is the revision in
	// force at the answering process.
	Cached bool `json:"cached,omitempty"`
}

// HistoryResponse lists revisions, the one in force first.
type HistoryResponse struct {
	Revisions []WorkspaceDocument `json:"revisions"`
}

// CellDocument is the answer of GET /v1/config/drains.
type CellDocument struct {
	Revision uint64                       `json:"revision"`
	Author   string                       `json:"author,omitempty"`
	At       time.Time                    `json:"at,omitzero"`
	Drained  map[string]configstore.Drain `json:"drained"`
	Paused   []model.TemplateID           `json:"paused"`
	Cached   bool                         `json:"cached,omitempty"`
}

// WorkspaceList is the answer of GET /v1/config/workspaces.
type WorkspaceList struct {
	Workspaces []WorkspaceSummary `json:"workspaces"`
}

// WorkspaceSummary is a workspace as it is in force at the answering process.
type WorkspaceSummary struct {
	Workspace string           `json:"workspace"`
	Revision  uint64           `json:"revision"`
	Templates []model.Template `json:"templates"`
}

func (s *Server) listWorkspaces(w http.ResponseWriter, _ *http.Request) {
	list := WorkspaceList{Workspaces: []WorkspaceSummary{}}
	revisions := s.opts.ConfigCache.Revisions()
	at := map[string]int{}
	for _, name := range sortedKeys(revisions) {
		workspace, ok := strings.CutPrefix(name, configstore.WorkspaceName(""))
		if !ok {
			continue
		}
		at[workspace] = len(list.Workspaces)
		list.Workspaces = append(list.Workspaces, WorkspaceSummary{Workspace: workspace, Revision: revisions[name], Templates: []model.Template{}})
	}
	for _, t := range s.opts.ConfigCache.Templates() {
		if i, ok := at[t.ID.Workspace]; ok {
			list.Workspaces[i].Templates = append(list.Workspaces[i].Templates, t)
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) getWorkspace(w http.ResponseWriter, r *http.Request) {
	workspace := r.PathValue("workspace")
	d, cached, p := s.document(r.Context(), workspaceDocument(workspace))
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
	writeJSON(w, http.StatusOK, workspaceAnswer(workspace, d, cached))
}

// workspaceDocument returns the document name, "" for a name that is not valid.
func workspaceDocument(workspace string) string {
	if !settings.ValidName(workspace) {
		return ""
	}
	return configstore.WorkspaceName(workspace)
}

func workspaceAnswer(workspace string, d configstore.Document, cached bool) WorkspaceDocument {
	return WorkspaceDocument{
		Workspace: workspace, Revision: d.Revision, Author: d.Author, At: d.At, Note: d.Note,
		Source: d.Source, Cached: cached,
	}
}

// document reads a document from the store, or what is in force here while the
// store does not answer.
func (s *Server) document(ctx context.Context, name string) (configstore.Document, bool, *Problem) {
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
	p.retryAfter = storeRetry
	return p
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	workspace := r.PathValue("workspace")
	name := workspaceDocument(workspace)
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
	answer := HistoryResponse{Revisions: []WorkspaceDocument{}}
	for _, d := range revisions {
		answer.Revisions = append(answer.Revisions, workspaceAnswer(workspace, d, false))
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) putWorkspace(w http.ResponseWriter, r *http.Request) {
	c, p := s.readChange(r)
	if p != nil {
		writeProblem(w, p)
		return
	}
	if c.Name = workspaceDocument(r.PathValue("workspace")); c.Name == "" {
		writeProblem(w, badField("workspace", "is not a valid name"))
		return
	}
	source, err := readAll(w, r, template.MaxSourceBytes)
	if err != nil {
		writeProblem(w, bodyProblem(err, template.MaxSourceBytes))
		return
	}
	c.Source = string(source)
	s.apply(w, r, c)
}

func (s *Server) getDrains(w http.ResponseWriter, r *http.Request) {
	d, cached, p := s.document(r.Context(), configstore.CellName)
	if p != nil && p.Status != http.StatusNotFound {
		writeProblem(w, p)
		return
	}
	setRevision(w, d.Revision) // 0 before the first change
	answer := CellDocument{
		Revision: d.Revision, Author: d.Author, At: d.At,
		Drained: d.Drained, Paused: d.Paused, Cached: cached,
	}
	if answer.Drained == nil {
		answer.Drained = map[string]configstore.Drain{}
	}
	if answer.Paused == nil {
		answer.Paused = []model.TemplateID{}
	}
	writeJSON(w, http.StatusOK, answer)
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
	s.apply(w, r, c)
}

// readChange reads the headers of a change.
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
	c.IfRevision, p = readRevision(r)
	return c, p
}

// readRevision returns the revision that a change requires, 0 for a document
// that must not exist.
func readRevision(r *http.Request) (uint64, *Problem) {
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

// apply applies a change and answers the operator.
func (s *Server) apply(w http.ResponseWriter, r *http.Request, c configstore.Change) {
	// An operator who disconnects may have been answered by nobody, so the change
	// is settled all the same.
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

// changeProblem maps the errors of Config.Apply: 412 for another revision in
// force, 422 for a faulty file, 400 for a faulty field, 413 for a document over
// the store's limit, 504 for an unknown outcome, 503 when nothing was written.
func changeProblem(err error) *Problem {
	var conflict *configstore.ConflictError
	var findings settings.Findings
	var invalid *configstore.InvalidError
	var uncertain *configstore.UncertainError
	switch {
	case errors.As(err, &conflict):
		return conflictProblem(conflict)
	case errors.As(err, &findings):
		p := newProblem(http.StatusUnprocessableEntity, codeBadFile, fmt.Sprintf("the file has %d faults", len(findings)))
		p.Findings = findings
		return p
	case errors.As(err, &invalid):
		return badField(invalid.Field, invalid.Message)
	case errors.Is(err, configstore.ErrTooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, codeTooLarge, err.Error())
	case errors.As(err, &uncertain):
		p := newProblem(http.StatusGatewayTimeout, codeUncertain, err.Error()+"; send the change again with the same "+HeaderIdempotencyKey)
		p.Outcome = model.OutcomeUnknown
		p.retryAfter = storeRetry
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
