package journal

import (
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// Defaults and limits.
const (
	// writesPerSecond is shared by all journals of the cell. It is a tenth below the
	// bound of 80, which leaves room for retries.
	writesPerSecond = 72
	// maxQueuedBytes bounds the records that wait while the store is unavailable.
	maxQueuedBytes = 16 << 20
	// segmentLeaseTTL is the term of the lease that segments are bound to. It only has
	// to outlast a shutdown of the whole cell, after which nobody renews it.
	segmentLeaseTTL = 30 * 24 * time.Hour
	// renewLeaseEvery is how often a living writer starts a new term.
	renewLeaseEvery = 24 * time.Hour
	// Delays between attempts to write a segment.
	firstRetry = 20 * time.Millisecond
	maxRetry   = time.Second
)

// Config holds the settings of a Writer.
type Config struct {
	Store       platform.Store
	Incarnation string // of this process; its journal must not exist yet
	Members     int    // members of the view, which share the write rate; 0 means 1
}
