package journal

import "errors"

// Errors of Writer.Append.
var (
	// ErrSealed means that a successor has sealed the journal: the record is not in
	// it and never will be. All later appends fail with it.
	ErrSealed = errors.New("journal is sealed")
	// ErrNotWritten means that the record is not in the journal and never will be.
	ErrNotWritten = errors.New("record was not written")
	// ErrUncertain means that the record may be in the journal or may still land with
	// a retry of its segment. Replay by a successor may return it.
	ErrUncertain = errors.New("record may have been written")
)

// Errors of reading and maintenance.
var (
	ErrNotSealed  = errors.New("journal is not sealed")
	ErrRemoved    = errors.New("journal was removed after its adoption")
	ErrGap        = errors.New("journal lacks a segment")
	ErrCorrupt    = errors.New("value of the journal is corrupt")
	ErrCompacting = errors.New("a compaction is under way")
)
