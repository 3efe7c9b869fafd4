package entry

import (
	"context"
	"time"
)

const (
	// compactMinBytes is the size of new entries above which a compaction is
	// worth its writes.
	compactMinBytes = 512 << 10
	// compactInterval is the minimum time between two compactions.
	compactInterval = 15 * time.Second
	compactTimeout  = 10 * time.Second
)

// compaction replaces the journal by a snapshot once it has grown enough.
type compaction struct {
	bytes   int
	last    time.Time
	running bool
}

func (c *compaction) grow(bytes int) { c.bytes += bytes }

// startIfDue starts a compaction when the journal has grown enough.
func (c *compaction) startIfDue(l *loop) {
	now := l.now()
	if c.running || c.bytes < compactMinBytes || now.Sub(c.last) < compactInterval {
		return
	}
	if l.takeover.inProgress() || l.takeover.unwritten > 0 {
		return
	}
	c.running = true
	c.last = now
	c.bytes = 0
	n := l.n
	n.start("compaction", func() {
		ctx, cancel := context.WithTimeout(n.ctx, compactTimeout)
		defer cancel()
		err := n.journal.Compact(ctx, func() ([][]byte, error) { return n.collectSnapshot(ctx) })
		n.post(compacted{err: err})
	})
}

// collectSnapshot requests the entries that replace the journal from the loop.
// The request is queued behind the results of all earlier writes.
func (n *Node) collectSnapshot(ctx context.Context) ([][]byte, error) {
	entries, err := postAndWait(ctx, n, func(r chan<- [][]byte) event { return snapshotRequest{result: r} })
	if err == nil && entries == nil {
		err = errTakeoverInProgress
	}
	return entries, err
}

// snapshotRequest requests a snapshot from the loop.
type snapshotRequest struct {
	result chan<- [][]byte
}

func (e snapshotRequest) apply(l *loop) { e.result <- l.snapshotEntries(l.now()) }

// snapshotEntries returns the entries that replace the journal. It returns nil if an
// entry can't be encoded, while shards are being moved or recovered, since the snapshot
// would lack their state, and while state taken over is being written: its entries would
// follow the snapshot, and an acceptance after the outcome in it starts the job again.
func (l *loop) snapshotEntries(now time.Time) [][]byte {
	if l.takeover.inProgress() || l.takeover.unwritten > 0 {
		return nil
	}
	out := [][]byte{} // not nil: a process without shards has nothing to keep
	add := func(e journalEntry) bool {
		data, err := e.encode()
		if err != nil {
			l.n.log.WithError(err).Error("journal: can't encode a snapshot entry")
			return false
		}
		out = append(out, data)
		return true
	}
	for _, own := range l.takeover.ownerships() {
		if !add(journalEntry{Own: &own}) {
			return nil
		}
	}
	for _, r := range l.table.Snapshot(now) {
		if !add(journalEntry{Record: &r}) {
			return nil
		}
	}
	return out
}

// compacted is the result of a compaction.
type compacted struct {
	err error
}

func (e compacted) apply(l *loop) {
	l.compaction.running = false
	if e.err == nil {
		return
	}
	l.compaction.bytes += compactMinBytes
	l.n.log.WithError(e.err).Warn("journal: compaction failed")
}
