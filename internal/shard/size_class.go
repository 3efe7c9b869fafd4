package shard

import "github.com/agateyard/agateyard/internal/model"

// sizeClass is the size that one grant must cover. It is fixed when a request is submitted.
type sizeClass struct {
	resources model.Resources // of one task
	tasks     int             // tasks of one grant
}
