package pool

import "github.com/agateyard/agateyard/internal/model"

// Assigned is a grant and the shard owner that gets it.
type Assigned struct {
	To    string // incarnation
	Grant model.Grant
}
