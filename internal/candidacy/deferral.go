package candidacy

import "time"

// maxDeferral bounds how long a candidate leaves the claim to fitter members that answer but don't claim. It covers a
// fitter member that was paused for as long as the longest pause that an owner survives, and its vote.
const maxDeferral = 2 * time.Second

// Deferral bounds how long a candidate waits for fitter members that are alive. The zero value is ready for use.
type Deferral struct {
	term  int64
	since time.Duration
}

// Continue reports whether the candidate still waits for fitter members to replace the owner of a term.
func (d *Deferral) Continue(term int64, now time.Duration) bool {
	if d.term != term || d.since == 0 {
		d.term, d.since = term, now
	}
	return now-d.since < maxDeferral
}
