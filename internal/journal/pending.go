package journal

import "time"

// progress of a record.
type progress int

const (
	queued  progress = iota // in no segment that was sent
	sent                    // in a segment that may be in the store
	settled                 // done was called
)

// pending is a record whose fate is not known yet. Its fields are guarded by Writer.mu.
type pending struct {
	record   []byte
	done     func(error)
	progress progress
	expiry   *time.Timer // nil without a deadline
	appended time.Time
}
