package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Start is one attempt to dispatch through the pool owner. The tasks of a gang
// come as several starts, which may share a grant. Each start is settled by
// exactly one effective Settle.
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
	Body        []byte // shared with the table; not to be modified
}
