package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// settledRecord remembers the end of an attempt.
type settledRecord struct {
	settled   model.Settled
	at        time.Time
	delivered bool
}
