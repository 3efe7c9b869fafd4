package configstore

import (
	"slices"

	"github.com/agateyard/agateyard/internal/model"
)

// contents is what the documents say together. It is immutable.
type contents struct {
	templates  []model.Template // ordered by workspace and name
	byID       map[model.TemplateID]model.Template
	workspaces []string // ordered
	drained    map[string]Drain
	paused     map[model.TemplateID]struct{}
}

func newContents(docs map[string]held) *contents {
	v := &contents{
		byID:   map[model.TemplateID]model.Template{},
		paused: map[model.TemplateID]struct{}{},
	}
	for name, h := range docs {
		if name == CellName {
			v.addCell(h.document)
			continue
		}
		v.workspaces = append(v.workspaces, h.templates.Workspace)
		v.templates = append(v.templates, h.templates.Templates...)
	}
	slices.Sort(v.workspaces)
	slices.SortFunc(v.templates, func(a, b model.Template) int { return compareTemplates(a.ID, b.ID) })
	for _, t := range v.templates {
		v.byID[t.ID] = t
	}
	return v
}

func (v *contents) addCell(d Document) {
	v.drained = d.Drained
	for _, t := range d.Paused {
		v.paused[t] = struct{}{}
	}
}
