package pool

import "github.com/agateyard/agateyard/internal/model"

// classKey identifies a class of demand: grants that are interchangeable.
type classKey struct {
	template  model.TemplateID
	resources model.Resources // of one task
	tasks     int
}
