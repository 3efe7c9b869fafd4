package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// ackQueue tracks which ended attempts of an endpoint instance may be
// acknowledged. The end of an attempt is acknowledged after its delivery, or
// without one after the retention; until then the endpoint keeps it in its list
// for the next pool owner.
type ackQueue struct {
	acked   uint64
	seen    uint64 // highest sequence number handled
	entries []ackEntry
}

// ackEntry is an ended attempt that is not yet acknowledged.
type ackEntry struct {
	seq       uint64
	attempt   model.AttemptID
	at        time.Time
	delivered bool
}

// add records an ended attempt and reports whether it is new.
func (q *ackQueue) add(seq uint64, attempt model.AttemptID, now time.Time) bool {
	if seq <= q.seen {
		return false
	}
	q.seen = seq
	q.entries = append(q.entries, ackEntry{seq: seq, attempt: attempt, at: now})
	return true
}

// deliver marks an attempt as delivered.
func (q *ackQueue) deliver(attempt model.AttemptID) {
	for i := range q.entries {
		if q.entries[i].attempt == attempt {
			q.entries[i].delivered = true
		}
	}
}

// advance removes the leading entries that are delivered or older than the
// retention and returns the sequence number to acknowledge.
func (q *ackQueue) advance(now time.Time, retention time.Duration) uint64 {
	n := 0
	for n < len(q.entries) && (q.entries[n].delivered || now.Sub(q.entries[n].at) > retention) {
		q.acked = q.entries[n].seq
		n++
	}
	q.entries = append(q.entries[:0], q.entries[n:]...)
	return q.acked
}

// reset clears the queue: the sequence numbers of a new instance start at 1.
func (q *ackQueue) reset() {
	*q = ackQueue{}
}
