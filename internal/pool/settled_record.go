package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// settledRecord is the record of a settled attempt.
type settledRecord struct {
	settled   model.Settled
	at        time.Time
	delivered bool
}
