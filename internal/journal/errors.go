package journal

import "errors"

// Errors of Writer.Append.
var (
	// ErrSealed means that a successor has sealed the journal: the record is not in
	// it and never will be. All later appends fail with the same error.
	ErrSealed = errors.New("journal is sealed")
	// ErrNotWritten means that the record is not in the journal and never will be.
	ErrNotWritten = errors.New("record was not written")
	// ErrUncertain means that the record may be in the journal, or that a retry of its
	// segment may still write it. Replay by a successor may return the record.
	ErrUncertain = errors.New("record may have been written")
)

// Errors of reading and maintenance.
var (
	ErrNotSealed  = errors.New("journal is not sealed")
	ErrRemoved    = errors.New("journal was removed after its adoption by successors")
	ErrGap        = errors.New("journal segment is missing")
	ErrCorrupt    = errors.New("journal value is corrupt")
	ErrCompacting = errors.New("another compaction is in progress")
)
