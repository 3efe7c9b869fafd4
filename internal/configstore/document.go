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

// maxChanges is the number of change identifiers that a document keeps, so that
// a change that is sent again is recognised.
const maxChanges = 32

// Document is the value of a key below Prefix.
type Document struct {
	Revision uint64    `json:"revision"` // 1 for the first, one more with each change
	Changes  []string  `json:"changes"`  // identifiers of the last changes, the newest last
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Note     string    `json:"note,omitempty"`

	// Source is the TOML text of a workspace document.
	Source string `json:"source,omitempty"`

	// Drained and Paused belong to the cell document.
	Drained map[string]Drain   `json:"drained,omitempty"` // by VM
	Paused  []model.TemplateID `json:"paused,omitempty"`  // ordered
}

// Drain says why a VM gets no new work.
type Drain struct {
	Reason string    `json:"reason"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
}

// Doc is a document as processes pass it on.
type Doc struct {
	Name     string
	Revision uint64
	JSON     []byte
}

// RevisionOf returns the revision that the change made, if the document still
// lists it.
func (d Document) RevisionOf(change string) (uint64, bool) {
	i := slices.Index(d.Changes, change)
	if i < 0 {
		return 0, false
	}
	return d.Revision - uint64(len(d.Changes)-1-i), true
}

// reaches reports whether the list of changes goes back to the one that
// followed the revision.
func (d Document) reaches(revision uint64) bool {
	return d.Revision-min(d.Revision, revision) <= uint64(len(d.Changes))
}

// next returns the document after the change.
func (d Document) next(c Change) Document {
	n := Document{
		Revision: d.Revision + 1,
		Changes:  append(slices.Clone(d.Changes), c.ID),
		Author:   c.Author,
		At:       c.At,
		Note:     c.Note,
		Source:   c.Source,
	}
	if over := len(n.Changes) - maxChanges; over > 0 {
		n.Changes = slices.Delete(n.Changes, 0, over)
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
	enc.SetEscapeHTML(false) // escapes would triple the size of some texts
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
		return Document{}, oops.In("configstore").Errorf("document without a revision")
	}
	return d, nil
}
