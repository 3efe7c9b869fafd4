package entry

import (
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// recordWriteTimeout limits the time that an intent or acceptance waits for the
// journal. It is short compared to the wait limits of callers, who get not-run and
// may retry.
const recordWriteTimeout = 2 * time.Second

// rewriteDelay is the delay before a record that must not be lost is written
// again.
const rewriteDelay = 200 * time.Millisecond

// appendRecords writes records of the shard table to the journal.
func (l *loop) appendRecords(records []shard.Record) {
	for _, r := range records {
		l.appendRecord(r)
	}
}

// appendRecord writes one record. Intents and acceptances fail if the write does
// not succeed within recordWriteTimeout; other records wait for the store.
func (l *loop) appendRecord(r shard.Record) {
	l.writeRecord(recordWritten{record: r, seq: l.acks.assignSeq()})
}

// writeRecord writes a record under a sequence number that has been assigned, and posts w
// with the result.
func (l *loop) writeRecord(w recordWritten) {
	r := w.record
	var deadline time.Time
	if c := r.Callback(); c == shard.CallbackIntent || c == shard.CallbackAcceptance {
		deadline = l.now().Add(recordWriteTimeout)
	}
	l.appendEntry(journalEntry{Record: &r}, deadline, func(err error) event {
		w.err = err
		return w
	})
}

// appendEntry writes one entry, and then posts the event that newEvent returns.
func (l *loop) appendEntry(e journalEntry, deadline time.Time, newEvent func(err error) event) {
	data, err := e.encode()
	if err != nil {
		l.n.log.WithError(err).Error("journal: can't encode an entry")
		return
	}
	n := l.n
	l.compaction.grow(len(data))
	n.journal.Append(data, deadline, func(err error) {
		if errors.Is(err, journal.ErrSealed) {
			n.stopReplaced()
		}
		n.post(newEvent(err))
	})
}

// appendState writes an entry of the state that was taken over. It has no deadline: the
// previous holder of the state drops it once all its entries are written.
func (l *loop) appendState(e journalEntry) {
	data, err := e.encode()
	if err != nil {
		l.n.log.WithError(err).Error("journal: can't encode an entry")
		return
	}
	seq, n := l.acks.assignSeq(), l.n
	l.compaction.grow(len(data))
	l.takeover.unwritten++
	n.journal.AppendState(data, func(err error) {
		if errors.Is(err, journal.ErrSealed) {
			n.stopReplaced()
		}
		n.post(stateWritten{seq: seq, err: err})
	})
}

// stateWritten is the result of the write of an entry of appendState. A write fails only
// if this incarnation ends, or if the entry is too large, as it was for its previous writer.
type stateWritten struct {
	seq uint64
	err error
}

func (e stateWritten) apply(l *loop) {
	l.takeover.unwritten--
	if e.err != nil {
		l.n.log.WithError(e.err).Error("journal: can't write state that was taken over")
	}
	l.acks.markWritten(e.seq)
}

// recordWritten is the result of the write of a record.
type recordWritten struct {
	record    shard.Record
	seq       uint64
	uncertain bool // an earlier write of the record may be in the journal
	err       error
}

func (e recordWritten) apply(l *loop) {
	if e.err != nil && e.mustRewrite() {
		n := l.n
		e.uncertain = e.uncertain || !errors.Is(e.err, journal.ErrNotWritten)
		time.AfterFunc(rewriteDelay, func() { n.post(recordRewrite(e)) })
		return
	}
	l.acks.markWritten(e.seq)
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

// mustRewrite reports whether a record whose write failed has to be written
// again. Intents, and acceptances that are known not to be in the journal, are
// withdrawn instead. An acceptance that may be in the journal must not be
// answered with not-run.
func (e recordWritten) mustRewrite() bool {
	switch e.record.Callback() {
	case shard.CallbackIntent:
		return false
	case shard.CallbackAcceptance:
		return e.uncertain || !errors.Is(e.err, journal.ErrNotWritten)
	default:
		return true
	}
}

// recordRewrite writes a record again. The record keeps its sequence number, so that
// completions that wait for it are confirmed only once it is written.
type recordRewrite recordWritten

func (e recordRewrite) apply(l *loop) { l.writeRecord(recordWritten(e)) }

// intentWritten starts the attempts of a recorded intent, or withdraws the intent
// if the write failed. The failed write may still reach the journal. That is
// harmless: the next shard owner finds that no pool owner knows the attempts.
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
