package entry

import (
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// recordTimeout is how long an intent or acceptance may wait for the journal.
// It is short against the waits of callers, who get not-run and may come back.
const recordTimeout = 2 * time.Second

// appendRecords writes records of the shard table to the journal.
func (l *loop) appendRecords(records []shard.Record) {
	for _, r := range records {
		l.appendEntry(journalEntry{Record: &r}, r.Callback() != shard.CallbackNone, func(err error) event {
			return recordWritten{record: r, err: err}
		})
	}
}

// appendEntry writes one entry; the event that built returns is posted after it.
// Entries with a deadline fail when the store can't be written in time; others
// wait for the store.
func (l *loop) appendEntry(e journalEntry, limited bool, built func(error) event) {
	data, err := e.encode()
	if err != nil {
		l.n.log.WithError(err).Error("journal: entry can't be encoded")
		return
	}
	var deadline time.Time
	if limited {
		deadline = l.now().Add(recordTimeout)
	}
	n := l.n
	l.compaction.grow(len(data))
	n.journal.Append(data, deadline, func(err error) {
		if errors.Is(err, journal.ErrSealed) {
			n.replaced()
		}
		if built != nil {
			n.post(built(err))
		}
	})
}

// recordWritten is the result of writing a record.
type recordWritten struct {
	record shard.Record
	err    error
}

func (e recordWritten) apply(l *loop) {
	now := l.now()
	switch e.record.Callback() {
	case shard.CallbackIntent:
		l.intentWritten(now, e.record.Attempt(), e.err)
	case shard.CallbackAcceptance:
		l.acceptanceWritten(now, e.record.Key, e.err)
	}
}

func (l *loop) intentWritten(now time.Time, a model.AttemptID, err error) {
	if err == nil {
		l.applyShard(l.table.IntentDurable(now, a))
		return
	}
	// The record may still land. That is harmless: the intent is withdrawn here
	// and a successor finds that no pool owner knows the attempt.
	l.applyShard(l.table.IntentFailed(now, a))
}

func (l *loop) acceptanceWritten(now time.Time, key model.RequestKey, err error) {
	if err == nil {
		l.applyShard(l.table.AcceptanceDurable(now, key))
		return
	}
	if errors.Is(err, journal.ErrNotWritten) {
		l.applyShard(l.table.AcceptanceFailed(now, key))
		return
	}
	// It may have been written. The withdrawal is written behind it, so that a
	// successor that finds the acceptance finds its end as well.
	l.applyShard(l.table.AcceptanceFailed(now, key))
}
