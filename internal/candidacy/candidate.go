package candidacy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// stagger separates the attempts of candidates, so that each one sees the claim of the one before.
	stagger = 80 * time.Millisecond
	// maxStaggers bounds the delay in case better candidates are dead but still listed as members.
	maxStaggers = 4
	// unfitDelay is the additional delay of a machine that is far less fit than another member. In that time the fitter
	// one can detect the loss (within a ping interval), repeat a vote that found no majority, and claim ownership.
	unfitDelay = 700 * time.Millisecond
	// worthwhileGain is the minimum ratio of scores at which a candidate leaves time to a better one, or hands ownership
	// over to it. Each handover interrupts scheduling briefly.
	worthwhileGain = 1.25
)

// Candidate is a process that may own the cell.
type Candidate struct {
	Incarnation string
	Address     string
	Machine     Machine
}

// Better reports whether a is a better candidate than b for the term after the given one: by score, then by processor,
// then by a hash that differs from term to term. The processor decides between candidates that can all carry the cell,
// because processes of earlier builds order candidates by it.
func Better(a, b Candidate, l Load, term int64) bool {
	if x, y := Score(a.Machine, l), Score(b.Machine, l); x != y {
		return x > y
	}
	if a.Machine.CPU != b.Machine.CPU {
		return a.Machine.CPU > b.Machine.CPU
	}
	return hash(a, term) < hash(b, term)
}

// hash formats the term as earlier builds do, so that processes of both builds agree on the order.
func hash(c Candidate, term int64) uint64 {
	return xxhash.Sum64String(c.Incarnation + "/" + time.Duration(term).String())
}

// Delay returns how long a candidate waits for better ones to claim ownership first.
func Delay(self Candidate, others []Candidate, l Load, term int64) time.Duration {
	better := map[string]bool{} // by address, as the former incarnations of a restarted process stay listed for a while
	for _, other := range others {
		earlier, listed := better[other.Address]
		better[other.Address] = Better(other, self, l, term) && (earlier || !listed)
	}
	ahead := 0
	for _, isBetter := range better {
		if isBetter {
			ahead++
		}
	}
	delay := time.Duration(min(ahead, maxStaggers)) * stagger
	if len(Fitter(self, others, l)) > 0 {
		delay += unfitDelay
	}
	return delay
}

// Fitter returns those of the others that can carry the cell far better than a candidate, in their order.
func Fitter(self Candidate, others []Candidate, l Load) []Candidate {
	var fitter []Candidate
	for _, other := range others {
		if Score(other.Machine, l) >= worthwhileGain*Score(self.Machine, l) {
			fitter = append(fitter, other)
		}
	}
	return fitter
}
