package pool

import "github.com/agateyard/agateyard/internal/model"

// AssignedGrant is a grant and the shard owner that receives it.
type AssignedGrant struct {
	To    string // incarnation of the shard owner
	Grant model.Grant
}
