package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// issuedGrant is a grant with its state. Its tasks are charged to their endpoints until
// it is closed; the attempts of a used grant keep the charge.
type issuedGrant struct {
	grant      model.Grant
	shardOwner string
	template   *templateState
	demand     *ownerDemand     // demand that it serves; nil for a reservation of Hold
	endpoints  []*endpointState // one per task
	expires    time.Time
	probe      bool
	closed     bool // used, returned or revoked
}
