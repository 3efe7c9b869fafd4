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
	// reregisterGrace is how long runners have to register again after a store outage.
	reregisterGrace = 2500 * time.Millisecond
)

// watchRunners keeps the list of runners up to date until the ownership ends.
func (o *ownership) watchRunners() {
	prefix := o.n.dep.Directory.RunnerPrefix()
	known := map[string]scheduler.RunnerInfo{} // as last passed to the event loop
	failed := false
	for o.ctx.Err() == nil {
		items, rev, err := o.n.readRange(o.ctx, prefix)
		if err != nil {
			failed = true
			ctxtime.Sleep(o.ctx, storeRetry)
			continue
		}
		present := map[string]bool{}
		for _, item := range items {
			o.applyRunnerItem(item, known)
			present[o.n.dep.Directory.RunnerID(item.Key)] = true
		}
		grace := time.Duration(0)
		if failed {
			grace = reregisterGrace
		}
		for id := range known {
			if !present[id] {
				o.removeAfter(id, grace, known)
			}
		}
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
				if item.Deleted {
					o.removeAfter(o.n.dep.Directory.RunnerID(item.Key), grace, known)
					continue
				}
				o.applyRunnerItem(item, known)
			}
			if len(changes) < busyWatchChanges {
				ctxtime.Sleep(o.ctx, runnersWatchPause)
			}
		}
	}
}

// applyRunnerItem applies a runner's entry if it differs from the last one: most changes are heartbeats, which say nothing
// new. An entry that can't be decoded doesn't change the state of the runner.
func (o *ownership) applyRunnerItem(item Item, known map[string]scheduler.RunnerInfo) {
	info, err := o.n.dep.Directory.DecodeRunner(item)
	if err != nil {
		o.n.dep.Log.Log("bad-runner-entry", logrus.Fields{"key": item.Key, "error": err.Error()})
		return
	}
	if last, ok := known[info.ID]; ok && last.Equal(info) {
		return
	}
	known[info.ID] = info
	o.post(func() {
		delete(o.removeAt, info.ID)
		o.usedRunners.add(info)
	})
}

// removeAfter schedules the removal of a runner, which is canceled if its entry comes back within the grace period.
func (o *ownership) removeAfter(id string, grace time.Duration, known map[string]scheduler.RunnerInfo) {
	delete(known, id)
	o.post(func() { o.removeAt[id] = o.loopTime + grace })
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
