package pool

import "github.com/agateyard/agateyard/internal/model"

// AssignedGrant is a grant and the shard owner that gets it.
type AssignedGrant struct {
	To    string // incarnation
	Grant model.Grant
}
