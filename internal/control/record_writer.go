package control

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// recordsPerCommit is how many records fit into a commit: each needs a condition and a write, and one more condition is
	// on the owner's claim.
	recordsPerCommit = (MaxCommitEntries - 1) / 2
	// maxCommits bounds the commits in flight. With a slow store that takes a third of a second for each, full commits still
	// write more than a thousand records a second.
	maxCommits = 32
	// deferredCommitDelay is the minimum time from the start of a commit to a commit without urgent changes, so that these
	// are collected into a batch.
	deferredCommitDelay = 150 * time.Millisecond
	// commitOverlapDelay is the time after which another commit starts although one is still in flight. A full commit doesn't
	// wait for it.
	commitOverlapDelay = 25 * time.Millisecond
	// refuseSubmissionsAfter is how long the store must have failed before new submissions are refused on arrival.
	refuseSubmissionsAfter = 300 * time.Millisecond
)

// recordWriter writes the durable state of jobs to the store with group commits. Each write of a record is conditional on
// the record's last known revision, so that a write that timed out can't overwrite a later one.
type recordWriter struct {
	o               *ownership
	revs            map[string]int64
	writing         map[string]bool
	commits         int
	lastCommitStart time.Duration
	deferralStart   time.Duration
	retryAt         time.Duration
	deleting        bool // a deletion is in flight
	waiters         map[string][]recordWaiter
}

type recordWaiter struct {
	version int64
	done    chan Outcome
}

func newRecordWriter(o *ownership) *recordWriter {
	return &recordWriter{
		o: o, revs: map[string]int64{}, writing: map[string]bool{}, waiters: map[string][]recordWaiter{},
	}
}

// addWaiter registers a channel that receives OutcomeStored once the job's durable state has at least the given version,
// or OutcomeUnknown if the ownership ends first.
func (w *recordWriter) addWaiter(id string, version int64, done chan Outcome) {
	w.waiters[id] = append(w.waiters[id], recordWaiter{version, done})
}

// deleteExpired deletes the records of jobs whose final states have been kept for their retention time, one batch at a
// time. A record that could not be deleted is found and deleted by the next owner.
func (w *recordWriter) deleteExpired() {
	if w.deleting || w.o.loopTime < w.retryAt {
		return
	}
	expired := w.o.sched.TakeExpired(recordsPerCommit)
	if len(expired) == 0 {
		return
	}
	c := Commit{Expected: map[string]int64{ownerKey: w.o.info.Rev}}
	for _, id := range expired {
		c.Expected[jobPrefix+id] = w.revs[id]
		c.Deletes = append(c.Deletes, jobPrefix+id)
		delete(w.revs, id)
	}
	w.deleting = true
	go func() {
		ctx, cancel := context.WithTimeout(w.o.ctx, storeTimeout)
		defer cancel()
		_, err := w.o.n.dep.Store.Commit(ctx, c)
		w.o.post(func() {
			w.deleting = false
			var conflict *Conflict
			if errors.As(err, &conflict) && w.o.claimLost(conflict) {
				return
			}
			if err != nil {
				w.o.n.dep.Log.Log("not-forgotten", logrus.Fields{"records": len(expired), "error": err.Error()})
			}
		})
	}()
}

// flush starts as many commits as are due.
func (w *recordWriter) flush() {
	for w.commitDue() {
		batch := w.o.sched.TakeDirty(recordsPerCommit, func(id string) bool { return w.writing[id] })
		if len(batch) == 0 {
			return
		}
		w.commit(batch)
	}
}

func (w *recordWriter) commitDue() bool {
	now := w.o.loopTime
	if w.commits >= maxCommits || now < w.retryAt {
		return false
	}
	dirty, urgent := w.o.sched.Dirty()
	if !dirty || w.commits > 0 && now-w.lastCommitStart < commitOverlapDelay && w.o.sched.DirtyCount() < recordsPerCommit {
		return false
	}
	return urgent || now-w.deferralStart >= deferredCommitDelay
}

func (w *recordWriter) commit(batch []scheduler.DirtyRecord) {
	c := Commit{Expected: map[string]int64{ownerKey: w.o.info.Rev}}
	for _, d := range batch {
		key := jobPrefix + d.ID
		w.writing[d.ID] = true
		c.Expected[key] = w.revs[d.ID]
		c.Puts = append(c.Puts, Put{Key: key, Value: d.Record.Encode()})
	}
	w.commits++
	w.lastCommitStart = w.o.loopTime
	w.deferralStart = w.o.loopTime
	go func() {
		ctx, cancel := context.WithTimeout(w.o.ctx, storeTimeout)
		defer cancel()
		rev, err := w.o.n.dep.Store.Commit(ctx, c)
		w.o.post(func() { w.commitFinished(batch, rev, err) })
	}()
}

func (w *recordWriter) commitFinished(batch []scheduler.DirtyRecord, rev int64, err error) {
	w.commits--
	for _, d := range batch {
		delete(w.writing, d.ID)
	}
	var conflict *Conflict
	switch {
	case err == nil:
		w.o.n.recordStoreCall("commit", nil)
		for _, d := range batch {
			w.revs[d.ID] = rev
			w.o.sched.MarkStored(d.ID, d.Version)
			w.notifyWaiters(d.ID, d.Version)
		}
		w.o.poller.sendAcknowledgements()
	case errors.As(err, &conflict):
		w.o.n.recordStoreCall("commit", nil)
		w.resolveConflict(batch, conflict)
	default:
		w.o.n.recordStoreCall("commit", err)
		w.o.n.dep.Log.Log("commit-failed", logrus.Fields{"records": len(batch), "error": err.Error()})
		w.retryAt = w.o.loopTime + storeRetry/2
		w.markDirty(batch)
	}
}

// resolveConflict handles a commit whose expected revisions didn't match: another process has claimed ownership, or an
// earlier commit without an answer was applied after all.
func (w *recordWriter) resolveConflict(batch []scheduler.DirtyRecord, conflict *Conflict) {
	if w.o.claimLost(conflict) {
		return
	}
	for _, item := range conflict.Current {
		if id, isJob := strings.CutPrefix(item.Key, jobPrefix); isJob {
			w.revs[id] = item.Rev
		}
	}
	w.markDirty(batch)
}

func (w *recordWriter) markDirty(batch []scheduler.DirtyRecord) {
	for _, d := range batch {
		w.o.sched.MarkDirty(d.ID)
	}
}

func (w *recordWriter) notifyWaiters(id string, version int64) {
	waiters := w.waiters[id]
	keep := waiters[:0]
	for _, waiter := range waiters {
		if waiter.version <= version {
			waiter.done <- OutcomeStored
		} else {
			keep = append(keep, waiter)
		}
	}
	if len(keep) == 0 {
		delete(w.waiters, id)
		return
	}
	w.waiters[id] = keep
}

// releaseWaiters answers all waiters with OutcomeUnknown, since their writes may have been stored.
func (w *recordWriter) releaseWaiters() {
	for _, waiters := range w.waiters {
		for _, waiter := range waiters {
			waiter.done <- OutcomeUnknown
		}
	}
	w.waiters = map[string][]recordWaiter{}
}
