package shard

import "github.com/agateyard/agateyard/internal/model"

// class is the size of what one grant must cover. It is fixed when a request is
// submitted.
type class struct {
	resources model.Resources // of one task
	tasks     int             // tasks of one grant
}
