package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Start is one attempt to dispatch through the pool owner. The tasks of a gang are separate
// starts, which may share a grant. Exactly one call of Settle takes effect for each start.
type Start struct {
	Key         model.RequestKey
	Attempt     model.AttemptID
	Task        int
	Grant       model.Grant
	Endpoint    string // one of Grant.Endpoints
	Kind        model.Kind
	Idempotent  bool
	RunLimit    time.Duration
	ContentType string
	Body        []byte // shared with the table; must not be modified
}
