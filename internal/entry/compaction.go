package entry

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/journal"
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
	entries := l.snapshotEntries(now)
	if entries == nil {
		return
	}
	c.running = true
	c.last = now
	c.bytes = 0
	n := l.n
	cut := n.journal.Cut()
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, compactTimeout)
		defer cancel()
		err := n.journal.Compact(ctx, cut, entries)
		n.post(compacted{err: err})
	}()
}

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
	if e.err != journal.ErrSealed {
		l.n.log.WithError(e.err).Warn("journal: compaction failed")
	}
}
