// Package template parses and validates the template file of a workspace. It
// reports all errors of a file with their positions.
package template

import (
	"math"
	"sort"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
)

// Document is the validated template file of one workspace.
type Document struct {
	Workspace string
	Weight    float64          // of the workspace in fair sharing
	Templates []model.Template // ordered by name
	Source    []byte           // the TOML text
}

// Limits of a document.
const (
	// MaxSourceBytes keeps a stored document well below the store's value limit of 1 MB.
	MaxSourceBytes = 256 << 10
	// MaxTemplates bounds the state that every entry process keeps for one workspace.
	MaxTemplates = 256
	// DefaultWeight is the weight of a workspace whose file doesn't set one.
	DefaultWeight = 1.0

	minWeight = 0.001
	maxWeight = 1000.0
)

// documentFile is the TOML schema of a template file.
type documentFile struct {
	Workspace string                  `toml:"workspace"`
	Weight    *float64                `toml:"weight"`
	Template  map[string]templateFile `toml:"template"`
}

// Parse parses and validates a template file. If the file has errors, Parse returns
// all of them as a settings.Findings. file is the file name used in the findings.
func Parse(file string, src []byte) (Document, error) {
	if len(src) > MaxSourceBytes {
		return Document{}, settings.Findings{{
			File: file, Message: "file is too large: 256 KiB at most",
		}}
	}
	var raw documentFile
	c := &checker{Document: settings.Decode(file, src, &raw)}
	doc := Document{Workspace: raw.Workspace, Weight: DefaultWeight, Source: src}
	c.workspace(&doc, &raw)
	for _, name := range sortedNames(raw.Template) {
		doc.Templates = append(doc.Templates, c.template(&doc, name, raw.Template[name]))
	}
	c.templateCount(len(doc.Templates))
	c.reserves(doc.Templates)
	return doc, c.Err()
}

// Find returns the template with the name.
func (d Document) Find(name string) (model.Template, bool) {
	i := sort.Search(len(d.Templates), func(i int) bool { return d.Templates[i].ID.Name >= name })
	if i < len(d.Templates) && d.Templates[i].ID.Name == name {
		return d.Templates[i], true
	}
	return model.Template{}, false
}

// checker converts values and reports invalid ones.
type checker struct{ *settings.Document }

func (c *checker) workspace(doc *Document, raw *documentFile) {
	switch {
	case !c.Has("workspace"):
		if c.Complete() {
			c.Report("workspace", "is required")
		}
	case !settings.ValidName(raw.Workspace):
		c.Report("workspace", nameRule)
	}
	if raw.Weight == nil {
		return
	}
	if !(*raw.Weight >= minWeight && *raw.Weight <= maxWeight) { // false for NaN
		c.Report("weight", "must be %v to %v", minWeight, maxWeight)
		return
	}
	doc.Weight = *raw.Weight
}

func (c *checker) templateCount(n int) {
	if n > MaxTemplates {
		c.Report("template", "%d templates, at most %d are allowed", n, MaxTemplates)
	}
}

// reserves checks the sum of the reserves of templates that share pools: those
// of one runner service, and those that run on workers.
func (c *checker) reserves(templates []model.Template) {
	sums := map[string]float64{}
	for _, t := range templates {
		if math.IsNaN(t.Reserve) {
			continue
		}
		prefix := t.PoolPrefix()
		sums[prefix] += t.Reserve
		// The tolerance covers sums such as 0.4+0.2+0.3+0.1, which is above 1 in binary fractions.
		if t.Reserve > 0 && sums[prefix] > 1+1e-9 {
			c.Report(keyPath(t.ID.Name, "reserve"), "brings the sum of the reserves on pools %s* to %.4g, over 1", prefix, sums[prefix])
		}
	}
}

func sortedNames(m map[string]templateFile) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func keyPath(template, parameter string) string {
	return "template." + template + "." + parameter
}
