package candidacy

import "time"

const (
	// minTermBeforeHandover is how long an owner keeps ownership before it hands it over, so that handovers don't follow
	// one another while the members get to know each other.
	minTermBeforeHandover = 2 * time.Second
	// minPresence is how long a process must have pinged the owner before ownership is handed over to it: one that has
	// just started may end again, and has loaded nothing.
	minPresence = 2 * time.Second
	// checkInterval is the pause between two looks for a better process.
	checkInterval = 500 * time.Millisecond
	// maxHandoverPause bounds the growing pause between attempts that were refused or not answered.
	maxHandoverPause = 30 * time.Second
)

// Successor is a process that an owner may hand ownership over to.
type Successor struct {
	Candidate
	Present    time.Duration // since its first ping to the owner
	Configured bool          // it has loaded the configuration
}

// Handover decides when an owner hands ownership over. It is used by one goroutine.
type Handover struct {
	next  time.Duration
	pause time.Duration
}

// NewHandover returns the decisions of an ownership that begins now.
func NewHandover(now time.Duration) *Handover {
	return &Handover{next: now + minTermBeforeHandover, pause: minTermBeforeHandover}
}

// Due reports whether to look for a better process.
func (h *Handover) Due(now time.Duration) bool { return now >= h.next }

// Choose returns the process to hand ownership over to, the best one, if the owner can't carry the cell and the gain is
// worthwhile. The next attempt is possible after a pause that grows with each one. Handing over to the best process
// only means that this one has nobody to hand it on to.
func (h *Handover) Choose(self Candidate, others []Successor, l Load, term int64, now time.Duration) (best Successor, ok bool) {
	h.next = now + checkInterval
	score := Score(self.Machine, l)
	for _, other := range others {
		if !other.Configured || other.Present < minPresence || Score(other.Machine, l) < worthwhileGain*score {
			continue
		}
		if !ok || Better(other.Candidate, best.Candidate, l, term) {
			best, ok = other, true
		}
	}
	if ok {
		h.next = now + h.pause
		h.pause = min(2*h.pause, maxHandoverPause)
	}
	return best, ok
}
