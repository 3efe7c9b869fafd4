package journal

import "time"

// recordState is the progress of a record.
type recordState int

const (
	queued   recordState = iota // in the queue and certainly not in the store
	sent                        // in the segment being written, which may be in the store
	reported                    // done was called
)

// pendingRecord is an appended record in the queue or in the segment being written. Its
// fields are guarded by Writer.mu.
type pendingRecord struct {
	record        []byte
	done          func(error)
	state         recordState
	deadlineTimer *time.Timer // nil without a deadline
	appendedAt    time.Time
}
