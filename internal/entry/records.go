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

// rewritePause is the time before a record that must not get lost is written again.
const rewritePause = 200 * time.Millisecond

// appendRecords writes records of the shard table to the journal.
func (l *loop) appendRecords(records []shard.Record) {
	for _, r := range records {
		l.appendRecord(r)
	}
}

// appendRecord writes one record. An intent and an acceptance fail when the
// store can't be written in time; other records wait for the store.
func (l *loop) appendRecord(r shard.Record) {
	var deadline time.Time
	if c := r.Callback(); c == shard.CallbackIntent || c == shard.CallbackAcceptance {
		deadline = l.now().Add(recordTimeout)
	}
	l.appendEntry(journalEntry{Record: &r}, deadline, func(err error, seq uint64) event {
		return recordWritten{record: r, seq: seq, err: err}
	})
}

// appendEntry writes one entry; the event that built returns is posted after it.
func (l *loop) appendEntry(e journalEntry, deadline time.Time, built func(err error, seq uint64) event) {
	data, err := e.encode()
	if err != nil {
		l.n.log.WithError(err).Error("journal: entry can't be encoded")
		return
	}
	n := l.n
	seq := l.acks.appended()
	l.compaction.grow(len(data))
	n.journal.Append(data, deadline, func(err error) {
		if errors.Is(err, journal.ErrSealed) {
			n.replaced()
		}
		n.post(built(err, seq))
	})
}

// ownershipWritten is the result of writing the start of an ownership.
type ownershipWritten struct {
	seq uint64
}

func (e ownershipWritten) apply(l *loop) { l.acks.written(e.seq) }

// recordWritten is the result of writing a record.
type recordWritten struct {
	record shard.Record
	seq    uint64
	err    error
}

func (e recordWritten) apply(l *loop) {
	if e.err != nil && e.mustLand() {
		n := l.n
		time.AfterFunc(rewritePause, func() { n.post(recordRewrite{record: e.record, replaces: e.seq}) })
		return
	}
	l.acks.written(e.seq)
	now := l.now()
	switch e.record.Callback() {
	case shard.CallbackIntent:
		l.intentWritten(now, e.record.Attempt(), e.err)
	case shard.CallbackAcceptance:
		l.acceptanceWritten(now, e.record.Key, e.err)
	case shard.CallbackOutcome:
		l.applyShard(l.table.OutcomeDurable(now, e.record.Key))
	}
}

// mustLand reports whether a record that failed has to be written again. An
// intent is withdrawn instead, and an acceptance that is certainly not in the
// journal. An acceptance that may be there can't be answered as not-run.
func (e recordWritten) mustLand() bool {
	switch e.record.Callback() {
	case shard.CallbackIntent:
		return false
	case shard.CallbackAcceptance:
		return !errors.Is(e.err, journal.ErrNotWritten)
	default:
		return true
	}
}

// recordRewrite writes a record again.
type recordRewrite struct {
	record   shard.Record
	replaces uint64
}

func (e recordRewrite) apply(l *loop) {
	l.appendRecord(e.record)
	// The new write is on the list, so that what waits for the old one may wait for it.
	l.acks.written(e.replaces)
}

// intentWritten starts the attempts of a recorded intent. A failed one may still
// land, which is harmless: it is withdrawn here, and a successor finds that no
// pool owner knows its attempts.
func (l *loop) intentWritten(now time.Time, a model.AttemptID, err error) {
	if err == nil {
		l.applyShard(l.table.IntentDurable(now, a))
		return
	}
	l.applyShard(l.table.IntentFailed(now, a))
}

func (l *loop) acceptanceWritten(now time.Time, key model.RequestKey, err error) {
	if err == nil {
		l.applyShard(l.table.AcceptanceDurable(now, key))
		return
	}
	l.applyShard(l.table.AcceptanceFailed(now, key))
}
