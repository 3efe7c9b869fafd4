package control

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// recordsPerCommit leaves room for one condition on the owner's claim and one on each record.
	recordsPerCommit = (MaxCommitEntries - 1) / 2
	// maxCommits is how many commits may be under way when the store is slow: at a third of a second each they still
	// write several hundred records a second.
	maxCommits = 32
	// lazyDelay is how long a change that nobody waits for may gather others.
	lazyDelay = 150 * time.Millisecond
	// slowCommit is the time after which a further commit doesn't wait for the one under way.
	slowCommit = 25 * time.Millisecond
	// refuseAfter is how long the store must have failed before submissions are refused at arrival.
	refuseAfter = 300 * time.Millisecond
)

// recordWriter keeps the durable state of jobs in the store by group commit. Each record is written under the
// condition of its last revision, so that a write that was given up on can't overwrite a later one.
type recordWriter struct {
	o          *owner
	revs       map[string]int64
	writing    map[string]bool
	commits    int
	lastStart  time.Duration
	lastLazy   time.Duration
	pauseTill  time.Duration
	forgetting bool // a deletion is under way
	waiters    map[string][]recordWaiter
}

type recordWaiter struct {
	version int64
	done    chan Outcome
}

func newRecordWriter(o *owner) *recordWriter {
	return &recordWriter{
		o: o, revs: map[string]int64{}, writing: map[string]bool{}, waiters: map[string][]recordWaiter{},
	}
}

// wait answers done once the job's durable state is at least version.
func (w *recordWriter) wait(id string, version int64, done chan Outcome) {
	w.waiters[id] = append(w.waiters[id], recordWaiter{version, done})
}

// forget deletes the records of jobs whose final states have been shown for long enough, a batch at a time. A record that
// could not be deleted is found again by the next owner.
func (w *recordWriter) forget() {
	if w.forgetting || w.o.seen < w.pauseTill {
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
	w.forgetting = true
	go func() {
		ctx, cancel := context.WithTimeout(w.o.ctx, storeTimeout)
		defer cancel()
		_, err := w.o.n.dep.Store.Commit(ctx, c)
		w.o.post(func() {
			w.forgetting = false
			if err != nil {
				w.o.n.dep.Log.Log("not-forgotten", logrus.Fields{"records": len(expired), "error": err.Error()})
			}
		})
	}()
}

// flush starts as many commits as are due.
func (w *recordWriter) flush() {
	for w.due() {
		batch := w.o.sched.TakeDirty(recordsPerCommit, func(id string) bool { return w.writing[id] })
		if len(batch) == 0 {
			return
		}
		w.commit(batch)
	}
}

func (w *recordWriter) due() bool {
	now := w.o.seen
	if w.commits >= maxCommits || now < w.pauseTill {
		return false
	}
	some, urgent := w.o.sched.Dirty()
	if !some || w.commits > 0 && now-w.lastStart < slowCommit && w.o.sched.DirtyCount() < recordsPerCommit {
		return false
	}
	return urgent || now-w.lastLazy >= lazyDelay
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
	w.lastStart = w.o.seen
	w.lastLazy = w.o.seen
	go func() {
		ctx, cancel := context.WithTimeout(w.o.ctx, storeTimeout)
		defer cancel()
		rev, err := w.o.n.dep.Store.Commit(ctx, c)
		w.o.post(func() { w.finished(batch, rev, err) })
	}()
}

func (w *recordWriter) finished(batch []scheduler.DirtyRecord, rev int64, err error) {
	w.commits--
	for _, d := range batch {
		delete(w.writing, d.ID)
	}
	var conflict *Conflict
	switch {
	case err == nil:
		w.o.n.noteStore("commit", nil)
		for _, d := range batch {
			w.revs[d.ID] = rev
			w.o.sched.MarkStored(d.ID, d.Version)
			w.tell(d.ID, d.Version)
		}
		w.o.looks.acknowledge()
	case errors.As(err, &conflict):
		w.o.n.noteStore("commit", nil)
		w.resolve(batch, conflict)
	default:
		w.o.n.noteStore("commit", err)
		w.o.n.dep.Log.Log("commit-failed", logrus.Fields{"records": len(batch), "error": err.Error()})
		w.pauseTill = w.o.seen + storeRetry/2
		w.redo(batch)
	}
}

// resolve handles a commit whose conditions didn't hold: the claim has passed on, or an earlier commit without an
// answer was done.
func (w *recordWriter) resolve(batch []scheduler.DirtyRecord, conflict *Conflict) {
	if w.o.claimPassedOn(conflict) {
		return
	}
	for _, item := range conflict.Current {
		if item.Key != ownerKey {
			w.revs[item.Key[len(jobPrefix):]] = item.Rev
		}
	}
	w.redo(batch)
}

func (w *recordWriter) redo(batch []scheduler.DirtyRecord) {
	for _, d := range batch {
		w.o.sched.MarkDirty(d.ID)
	}
}

func (w *recordWriter) tell(id string, version int64) {
	waiters := w.waiters[id]
	keep := waiters[:0]
	for _, x := range waiters {
		if x.version <= version {
			x.done <- OutcomeStored
		} else {
			keep = append(keep, x)
		}
	}
	if len(keep) == 0 {
		delete(w.waiters, id)
		return
	}
	w.waiters[id] = keep
}

// abandon answers everybody who waits: what they wait for may have been stored.
func (w *recordWriter) abandon() {
	for _, waiters := range w.waiters {
		for _, x := range waiters {
			x.done <- OutcomeUnknown
		}
	}
	w.waiters = map[string][]recordWaiter{}
}
