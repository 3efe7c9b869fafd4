package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// settledRecord remembers the end of an attempt.
type settledRecord struct {
	settled   model.Settled
	endpoint  *endpointState
	at        time.Time
	delivered bool
}
