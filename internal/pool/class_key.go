package pool

import "github.com/agateyard/agateyard/internal/model"

// classKey identifies demand for grants that are all alike.
type classKey struct {
	template  model.TemplateID
	resources model.Resources // of one task
	tasks     int
}
