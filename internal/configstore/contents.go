package configstore

import (
	"slices"

	"github.com/agateyard/agateyard/internal/model"
)

// contents is the merged content of all documents, indexed for readers. It is immutable.
type contents struct {
	templates  []model.Template // sorted by workspace and name
	byID       map[model.TemplateID]model.Template
	workspaces []string         // sorted
	drained    map[string]Drain // by VM identifier
	paused     map[model.TemplateID]struct{}
}

func newContents(docs map[string]cachedDocument) *contents {
	c := &contents{
		byID:   map[model.TemplateID]model.Template{},
		paused: map[model.TemplateID]struct{}{},
	}
	for name, cached := range docs {
		if name == CellName {
			c.addCell(cached.decoded)
			continue
		}
		c.workspaces = append(c.workspaces, cached.templates.Workspace)
		c.templates = append(c.templates, cached.templates.Templates...)
	}
	slices.Sort(c.workspaces)
	slices.SortFunc(c.templates, func(a, b model.Template) int { return compareTemplates(a.ID, b.ID) })
	for _, t := range c.templates {
		c.byID[t.ID] = t
	}
	return c
}

func (c *contents) addCell(d Document) {
	c.drained = d.Drained
	for _, t := range d.Paused {
		c.paused[t] = struct{}{}
	}
}
