package configstore

import (
	"fmt"
	"time"
)

// ConflictError means that the document had another revision than the change
// requires. The change was not applied.
type ConflictError struct {
	Name       string
	IfRevision uint64
	InForce    uint64 // revision in force
	Author     string // of the revision in force
	At         time.Time
	Diff       string // lines of the document in force (-) and of the change (+)
	// Unsettled means that so many changes followed IfRevision that the document no
	// longer tells whether an earlier sending of the same change was applied.
	Unsettled bool
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%s has revision %d in force, the change requires revision %d", e.Name, e.InForce, e.IfRevision)
	if e.Unsettled {
		text += "; whether an earlier sending of the change was applied is not known"
	}
	return text
}

// UncertainError means that the time ran out before the outcome of a write was
// known. Sending the change again with the same identifier settles it.
type UncertainError struct {
	Change string
	Last   error
}

// Error names the change and the last error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("outcome of change %s is not known: %v", e.Change, e.Last)
}

// Unwrap returns the last error.
func (e *UncertainError) Unwrap() error { return e.Last }
