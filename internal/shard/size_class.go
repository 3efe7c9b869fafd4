package shard

import "github.com/agateyard/agateyard/internal/model"

// sizeClass is the size of a unit, which one grant, or several with Hold, must cover. It is fixed
// when a request is submitted.
type sizeClass struct {
	resources model.Resources // of one task
	tasks     int             // tasks of one unit
}
