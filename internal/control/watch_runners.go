package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// runnersWatchPause is the pause between two watch calls for the runners, whose entries change many times a second.
	runnersWatchPause = 250 * time.Millisecond
	// busyWatchChanges is the number of changes in an answer from which on the next call follows at once: an answer holds
	// at most some hundred changes, so with a pause the watch would fall behind.
	busyWatchChanges = 200
	// quietWatchRunners is the number of known runners from which on an answer without any change is suspicious: each writes
	// its entry about as often as a watch call waits.
	quietWatchRunners = 3
	// reregisterGrace is how long runners have to register again after a store outage.
	reregisterGrace = 2500 * time.Millisecond
)

// watchRunners keeps the list of runners up to date until the ownership ends.
func (o *ownership) watchRunners() {
	prefix := o.n.dep.Directory.RunnerPrefix()
	entries := newRunnerEntries(o)
	failed := false
	for o.ctx.Err() == nil {
		items, rev, err := o.n.readRange(o.ctx, prefix)
		if err != nil {
			failed = true
			ctxtime.Sleep(o.ctx, storeRetry)
			continue
		}
		grace := time.Duration(0)
		if failed {
			grace = reregisterGrace
		}
		entries.reset(items, grace)
		o.post(o.sched.DiscoveryRead)
		failed = false
		regained := o.n.clock.Now()
		for o.ctx.Err() == nil {
			changes, next, err := o.n.watch(o.ctx, prefix, rev, watchWait)
			if err != nil {
				failed = true
				break
			}
			rev = next
			grace := time.Duration(0)
			if o.n.clock.Now()-regained < reregisterGrace {
				grace = reregisterGrace
			}
			for _, item := range changes {
				entries.apply(item, grace)
			}
			if len(changes) == 0 && len(entries.known) >= quietWatchRunners {
				break // the watch may have gone blind: read the list again
			}
			if len(changes) < busyWatchChanges {
				ctxtime.Sleep(o.ctx, runnersWatchPause)
			}
		}
	}
}

// runnerEntries are the entries of runners as last passed to the event loop. Only watchRunners uses them.
type runnerEntries struct {
	o     *ownership
	known map[string]scheduler.RunnerInfo
	revs  map[string]int64  // revision of the last change, by key
	bad   map[string]string // errors of the entries that can't be decoded, by key, as last logged
}

func newRunnerEntries(o *ownership) *runnerEntries {
	return &runnerEntries{o: o, known: map[string]scheduler.RunnerInfo{}, bad: map[string]string{}}
}

// reset applies a full read.
func (e *runnerEntries) reset(items []Item, grace time.Duration) {
	e.revs = make(map[string]int64, len(items))
	present := map[string]bool{}
	bad := e.bad
	e.bad = map[string]string{}
	for _, item := range items {
		e.bad[item.Key] = bad[item.Key] // entries that are gone are forgotten
		e.apply(item, grace)
		present[e.o.n.dep.Directory.RunnerID(item.Key)] = true
	}
	for id := range e.known {
		if !present[id] {
			e.remove(id, grace)
		}
	}
}

// apply applies a change, unless a later one of the same key has been applied: a read of several pages is watched from the
// revision of its first page, so changes from before the later pages are delivered again.
func (e *runnerEntries) apply(item Item, grace time.Duration) {
	if item.Rev > 0 && item.Rev <= e.revs[item.Key] {
		return
	}
	e.revs[item.Key] = item.Rev
	if item.Deleted {
		delete(e.bad, item.Key)
		e.remove(e.o.n.dep.Directory.RunnerID(item.Key), grace)
		return
	}
	e.set(item)
}

// set applies a runner's entry if it differs from the last one: most changes are heartbeats, which say nothing new. An
// entry that can't be decoded doesn't change the state of the runner.
func (e *runnerEntries) set(item Item) {
	o := e.o
	info, err := o.n.dep.Directory.DecodeRunner(item)
	if err != nil {
		if e.bad[item.Key] != err.Error() {
			e.bad[item.Key] = err.Error()
			o.n.dep.Log.Log("bad-runner-entry", logrus.Fields{"key": item.Key, "error": err.Error()})
		}
		return
	}
	delete(e.bad, item.Key)
	if last, ok := e.known[info.ID]; ok && last.Equal(info) {
		return
	}
	e.known[info.ID] = info
	o.post(func() {
		delete(o.removeAt, info.ID)
		o.sched.RunnerListed(info)
		o.poller.pollSoon(info.ID)
	})
}

// remove schedules the removal of a runner, which is canceled if its entry comes back within the grace period.
func (e *runnerEntries) remove(id string, grace time.Duration) {
	delete(e.known, id)
	e.o.post(func() { e.o.removeAt[id] = e.o.loopTime + grace })
}

// removeDue removes the runners whose entries have not come back within their grace period.
func (o *ownership) removeDue() {
	for id, at := range o.removeAt {
		if o.loopTime >= at {
			delete(o.removeAt, id)
			o.usedRunners.remove(id)
		}
	}
}
