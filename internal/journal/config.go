package journal

import (
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// Defaults and limits.
const (
	// maxWritesPerSecond is shared by all journals of the cell. It is 10% below the
	// limit of 80 writes per second, which leaves capacity for retries.
	maxWritesPerSecond = 72
	// maxQueuedBytes is the total size of the queued records above which Append rejects
	// records, for example while the store is unavailable.
	maxQueuedBytes = 16 << 20
	// segmentLeaseTTL is the TTL of the lease that segments are bound to. It only has to
	// be longer than a shutdown of the whole cell, during which nobody renews the lease.
	segmentLeaseTTL = 30 * 24 * time.Hour
	// renewLeaseInterval is how often a running writer renews the leases of segments.
	renewLeaseInterval = 24 * time.Hour
	// Delays between attempts to write a segment.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Config holds the settings of a Writer.
type Config struct {
	Store       platform.Store
	Incarnation string // incarnation of this process; its journal must not exist yet
	Members     int    // number of members in the view, which share the write rate; 0 means 1
}
