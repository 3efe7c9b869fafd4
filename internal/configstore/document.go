package configstore

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/model"
)

// maxListedChanges is the maximum number of change identifiers that a document lists,
// so that a resubmitted change is recognised.
const maxListedChanges = 32

// Document is the decoded value of a key with Prefix or historyPrefix.
type Document struct {
	Revision uint64    `json:"revision"` // starts at 1 and increases by one with each change
	Changes  []string  `json:"changes"`  // identifiers of the latest changes, the newest last
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Note     string    `json:"note,omitempty"`

	// Source is the TOML text of a workspace document.
	Source string `json:"source,omitempty"`

	// Drained and Paused are set in the cell document only.
	Drained map[string]Drain   `json:"drained,omitempty"` // by VM identifier
	Paused  []model.TemplateID `json:"paused,omitempty"`  // sorted
}

// Drain describes why, by whom and since when a VM is drained and gets no new work.
type Drain struct {
	Reason string    `json:"reason"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
}

// Doc is an encoded document as processes exchange it.
type Doc struct {
	Name     string
	Revision uint64
	JSON     []byte
}

// RevisionOf returns the revision that the change created, if the document still
// lists the change.
func (d Document) RevisionOf(change string) (uint64, bool) {
	i := slices.Index(d.Changes, change)
	if i < 0 {
		return 0, false
	}
	return d.Revision - uint64(len(d.Changes)-1-i), true
}

// listsChangesSince reports whether the document lists every change after the revision.
func (d Document) listsChangesSince(revision uint64) bool {
	return d.Revision-min(d.Revision, revision) <= uint64(len(d.Changes))
}

// next returns the document with the change applied.
func (d Document) next(c Change) Document {
	n := Document{
		Revision: d.Revision + 1,
		Changes:  append(slices.Clone(d.Changes), c.ID),
		Author:   c.Author,
		At:       c.At,
		Note:     c.Note,
		Source:   c.Source,
	}
	if excess := len(n.Changes) - maxListedChanges; excess > 0 {
		n.Changes = slices.Delete(n.Changes, 0, excess)
	}
	if c.Cell != nil {
		n.Drained = maps.Clone(d.Drained)
		n.Paused = slices.Clone(d.Paused)
		c.Cell.apply(&n, c)
	}
	return n
}

func (d Document) encode() ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false) // HTML escaping would triple the size of some texts
	if err := enc.Encode(d); err != nil {
		return nil, oops.In("configstore").Wrapf(err, "encode document")
	}
	return b.Bytes(), nil
}

func decodeDocument(value []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(value, &d); err != nil {
		return Document{}, oops.In("configstore").Wrapf(err, "decode document")
	}
	if d.Revision == 0 {
		return Document{}, oops.In("configstore").Errorf("document has no revision")
	}
	return d, nil
}
