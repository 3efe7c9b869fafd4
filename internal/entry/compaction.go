package entry

import (
	"context"
	"time"
)

const (
	// compactBytes of new entries make a compaction worth its writes.
	compactBytes = 512 << 10
	// compactInterval is the least time between two compactions.
	compactInterval = 15 * time.Second
	compactTimeout  = 10 * time.Second
)

// compaction replaces the journal by a snapshot when it has grown.
type compaction struct {
	bytes   int
	last    time.Time
	running bool
}

func (c *compaction) grow(bytes int) { c.bytes += bytes }

// due starts a compaction when the journal has grown enough.
func (c *compaction) due(l *loop) {
	now := l.now()
	if c.running || c.bytes < compactBytes || now.Sub(c.last) < compactInterval {
		return
	}
	if l.takeover.moving() {
		return
	}
	c.running = true
	c.last = now
	c.bytes = 0
	n := l.n
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, compactTimeout)
		defer cancel()
		err := n.journal.Compact(ctx, func() ([][]byte, error) { return n.collectSnapshot(ctx) })
		n.post(compacted{err: err})
	}()
}

// collectSnapshot asks the loop for the entries that replace the journal. The
// question passes through the queue behind the results of all earlier writes.
func (n *Node) collectSnapshot(ctx context.Context) ([][]byte, error) {
	entries, err := ask(ctx, n, func(r chan<- [][]byte) event { return snapshotWanted{result: r} })
	if err == nil && entries == nil {
		err = errTakingOver
	}
	return entries, err
}

// snapshotWanted asks the loop for a snapshot.
type snapshotWanted struct {
	result chan<- [][]byte
}

func (e snapshotWanted) apply(l *loop) { e.result <- l.snapshotEntries(l.now()) }

// snapshotEntries returns entries that replace the journal, or nil while
// shards are on the move, whose state the snapshot would lack.
func (l *loop) snapshotEntries(now time.Time) [][]byte {
	if l.takeover.moving() {
		return nil
	}
	var out [][]byte
	add := func(e journalEntry) bool {
		data, err := e.encode()
		if err != nil {
			l.n.log.WithError(err).Error("journal: snapshot can't be encoded")
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
	l.compaction.bytes += compactBytes
	l.n.log.WithError(e.err).Warn("journal: compaction failed")
}
