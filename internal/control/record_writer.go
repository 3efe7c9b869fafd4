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
	// deferredCommitDelay is the minimum time from the start of a commit to a commit without urgent changes, so that these
	// are collected into a batch.
	deferredCommitDelay = 150 * time.Millisecond
	// refuseSubmissionsAfter is how long the store must have failed before new submissions are refused on arrival.
	refuseSubmissionsAfter = 300 * time.Millisecond
)

// recordWriter writes the durable state of jobs to the store with group commits. Each write of a record is conditional on
// the record's last known revision, so that a write that timed out can't overwrite a later one.
type recordWriter struct {
	o             *ownership
	revs          map[string]int64
	writing       map[string]bool
	lastFailed    map[string]bool // records of the last commit, if it failed
	window        commitWindow
	cancels       map[int]context.CancelFunc // of the commits in flight, by number
	deferralStart time.Duration
	deleting      bool // a deletion is in flight
	waiters       map[string][]recordWaiter
}

type recordWaiter struct {
	version int64
	done    chan Outcome
}

func newRecordWriter(o *ownership) *recordWriter {
	return &recordWriter{
		o: o, revs: map[string]int64{}, writing: map[string]bool{}, waiters: map[string][]recordWaiter{},
		cancels: map[int]context.CancelFunc{},
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
	if w.deleting || w.window.failing {
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
		// A record that the store doesn't take must not hold up the others while commits hold one record each.
		batch := w.o.sched.TakeDirty(w.window.maxRecords(), func(id string) bool { return w.writing[id] || w.lastFailed[id] })
		if len(batch) == 0 {
			w.lastFailed = nil
			return
		}
		w.commit(batch)
	}
}

func (w *recordWriter) commitDue() bool {
	now := w.o.loopTime
	dirty, urgent := w.o.sched.Dirty()
	if !dirty || !w.window.mayStart(now, w.o.sched.DirtyCount() >= recordsPerCommit) {
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
	w.deferralStart = w.o.loopTime
	number := w.window.start(w.o.loopTime)
	ctx, cancel := context.WithTimeout(w.o.ctx, storeTimeout)
	w.cancels[number] = cancel
	go func() {
		defer cancel()
		rev, err := w.o.n.dep.Store.Commit(ctx, c)
		w.o.post(func() { w.commitFinished(number, batch, rev, err) })
	}()
}

// commitFinished handles the result of a commit. One that was given up is written again under the same conditions, as after
// a time-out: it may have been applied, or be applied later.
func (w *recordWriter) commitFinished(number int, batch []scheduler.DirtyRecord, rev int64, err error) {
	for _, d := range batch {
		delete(w.writing, d.ID)
	}
	_, waitedFor := w.cancels[number]
	delete(w.cancels, number)
	var conflict *Conflict
	switch {
	case err == nil:
		w.lastFailed = nil
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
	case !waitedFor:
		w.markDirty(batch)
		return
	default:
		w.o.n.recordStoreCall("commit", err)
		w.o.n.dep.Log.Log("commit-failed", logrus.Fields{"records": len(batch), "error": err.Error()})
		w.lastFailed = make(map[string]bool, len(batch))
		for _, d := range batch {
			w.lastFailed[d.ID] = true
		}
		w.markDirty(batch)
	}
	for _, hung := range w.window.finish(number, err == nil || conflict != nil, w.o.loopTime) {
		w.giveUp(hung)
	}
}

// giveUp ends the wait for a commit that the store will not answer, so that its records are written again at once.
func (w *recordWriter) giveUp(number int) {
	w.window.giveUp(number)
	w.cancels[number]()
	delete(w.cancels, number)
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
