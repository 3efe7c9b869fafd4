package journal

import "time"

// recordState is the progress of a record.
type recordState int

const (
	queued   recordState = iota // in no segment that was sent to the store
	sent                        // in a segment that may be in the store
	reported                    // done was called
)

// pendingRecord is a record whose outcome is not known yet. Its fields are guarded by Writer.mu.
type pendingRecord struct {
	record        []byte
	done          func(error)
	state         recordState
	deadlineTimer *time.Timer // nil without a deadline
	appendedAt    time.Time
}
