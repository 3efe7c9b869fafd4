package configstore

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
	"github.com/agateyard/agateyard/internal/template"
)

// Size limits of the texts in a change.
const (
	maxChangeIDBytes = 64
	maxAuthorBytes   = 128
	maxReasonBytes   = 512
	maxVMBytes       = 128
)

// Change is an operator's change of one document.
type Change struct {
	ID         string // unique; a resubmission with the same ID is not applied twice
	Name       string // name of the document: CellName or the result of WorkspaceName
	IfRevision uint64 // revision that the document must have; 0 if it must not exist
	Author     string
	At         time.Time
	Note       string

	Source string    // new TOML text of a workspace document
	Cell   *CellEdit // for the cell document
}

// CellEdit changes the cell document. Removing a missing drain or pause is not an error.
type CellEdit struct {
	Drain   []string           `json:"drain,omitempty"` // VMs
	Reason  string             `json:"reason,omitempty"`
	Undrain []string           `json:"undrain,omitempty"`
	Pause   []model.TemplateID `json:"pause,omitempty"`
	Resume  []model.TemplateID `json:"resume,omitempty"`
}

func (e CellEdit) empty() bool {
	return len(e.Drain)+len(e.Undrain)+len(e.Pause)+len(e.Resume) == 0
}

func (e CellEdit) apply(d *Document, c Change) {
	for _, vm := range e.Undrain {
		delete(d.Drained, vm)
	}
	for _, vm := range e.Drain {
		if d.Drained == nil {
			d.Drained = map[string]Drain{}
		}
		d.Drained[vm] = Drain{Reason: e.Reason, By: c.Author, At: c.At}
	}
	d.Paused = append(d.Paused, e.Pause...)
	d.Paused = slices.DeleteFunc(d.Paused, func(t model.TemplateID) bool { return slices.Contains(e.Resume, t) })
	slices.SortFunc(d.Paused, compareTemplates)
	d.Paused = slices.Compact(d.Paused)
}

func compareTemplates(a, b model.TemplateID) int {
	if c := strings.Compare(a.Workspace, b.Workspace); c != 0 {
		return c
	}
	return strings.Compare(a.Name, b.Name)
}

// validate returns an error for a change that can never be applied: an *InvalidError,
// or the settings.Findings of its source.
func (c Change) validate() error {
	switch {
	case c.ID == "" || len(c.ID) > maxChangeIDBytes || !isVisibleASCII(c.ID):
		return invalidError("id", "must be 1 to %d visible ASCII characters", maxChangeIDBytes)
	case !ValidName(c.Name):
		return invalidError("name", "%q names no document", c.Name)
	case c.Author == "" || len(c.Author) > maxAuthorBytes:
		return invalidError("author", "must be 1 to %d bytes", maxAuthorBytes)
	case len(c.Note) > maxReasonBytes:
		return invalidError("note", "must be at most %d bytes", maxReasonBytes)
	case c.Name == CellName:
		return c.validateCell()
	default:
		return c.validateSource()
	}
}

func (c Change) validateSource() error {
	if c.Cell != nil {
		return invalidError("cell", "belongs only to the cell document")
	}
	workspace, _ := workspaceOf(c.Name)
	doc, err := template.Parse(workspace+".toml", []byte(c.Source))
	if err != nil {
		return err
	}
	if doc.Workspace != workspace {
		return settings.Findings{{
			File: workspace + ".toml", Line: 1, Column: 1, Key: "workspace",
			Message: "is " + doc.Workspace + ", but the change is for " + workspace,
		}}
	}
	return nil
}

func (c Change) validateCell() error {
	switch {
	case c.Source != "":
		return invalidError("source", "belongs only to workspace documents")
	case c.Cell == nil || c.Cell.empty():
		return invalidError("cell", "must change something")
	case len(c.Cell.Reason) > maxReasonBytes:
		return invalidError("reason", "must be at most %d bytes", maxReasonBytes)
	case len(c.Cell.Drain) > 0 && c.Cell.Reason == "":
		return invalidError("reason", "is required for a drain")
	}
	for _, vm := range slices.Concat(c.Cell.Drain, c.Cell.Undrain) {
		if vm == "" || len(vm) > maxVMBytes || !isVisibleASCII(vm) {
			return invalidError("drain", "VM %q must be 1 to %d visible ASCII characters", vm, maxVMBytes)
		}
	}
	for _, t := range slices.Concat(c.Cell.Pause, c.Cell.Resume) {
		if !settings.ValidName(t.Workspace) || !settings.ValidName(t.Name) {
			return invalidError("pause", "%q is no template", t.String())
		}
	}
	return nil
}

func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// InvalidError is the error for a change that can never be applied.
type InvalidError struct {
	Field   string
	Message string
}

// Error returns the field and the message.
func (e *InvalidError) Error() string { return e.Field + " " + e.Message }

func invalidError(field, format string, args ...any) error {
	return &InvalidError{Field: field, Message: fmt.Sprintf(format, args...)}
}
