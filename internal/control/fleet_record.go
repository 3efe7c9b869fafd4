package control

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"github.com/agateyard/agateyard/internal/scheduler"
)

// pruneInterval is how often runners that are gone are taken out of the record, so that no successor waits for them.
const pruneInterval = time.Second

// fleetRecord keeps the runners that owners have used in the store. A runner is used only after it is recorded, so that
// a successor knows every place where a run may exist.
type fleetRecord struct {
	o        *owner
	rev      int64
	recorded map[string]string // address by identifier; the store may hold more
	outdated bool              // the store holds runners that are gone
	pruneAt  time.Duration
	waiting  map[string]scheduler.RunnerInfo
	writing  bool
	retryAt  time.Duration
}

func newFleetRecord(o *owner) *fleetRecord {
	return &fleetRecord{o: o, recorded: map[string]string{}, waiting: map[string]scheduler.RunnerInfo{}}
}

// load reads the runners that earlier owners have used.
func (f *fleetRecord) load() error {
	var item Item
	var found bool
	err := f.o.untilRead(runnersKey, func() (err error) {
		ctx, cancel := context.WithTimeout(f.o.ctx, 2*storeTimeout)
		defer cancel()
		item, found, err = f.o.n.dep.Store.Get(ctx, runnersKey)
		f.o.n.noteStore("get", err)
		return err
	})
	if err != nil || !found {
		return err
	}
	f.rev = item.Rev
	if err := json.Unmarshal(item.Value, &f.recorded); err != nil {
		return err
	}
	for id, addr := range f.recorded {
		f.o.sched.RunnerInherited(id, addr)
	}
	return nil
}

// list hands a runner to the scheduler once it is recorded.
func (f *fleetRecord) list(info scheduler.RunnerInfo) {
	if f.recorded[info.ID] == info.Addr {
		f.o.sched.RunnerListed(info)
		return
	}
	f.waiting[info.ID] = info
	f.write()
}

func (f *fleetRecord) delist(id string) {
	delete(f.waiting, id)
	f.o.sched.RunnerDelisted(id)
}

// prune drops the runners that nothing can run on any more and returns the others. A runner that comes back, even while
// the record is being written, is recorded anew before it is used.
func (f *fleetRecord) prune() map[string]string {
	watched := map[string]string{}
	for _, ref := range f.o.sched.RunnersToPoll() {
		watched[ref.ID] = ref.Addr
	}
	for id := range f.recorded {
		if _, ok := watched[id]; !ok {
			delete(f.recorded, id)
			f.outdated = true
		}
	}
	f.pruneAt = f.o.seen + pruneInterval
	return watched
}

// write records the runners that wait, and forgets those that nothing can run on any more.
func (f *fleetRecord) write() {
	if f.writing || f.o.seen < f.retryAt {
		return
	}
	if len(f.waiting) == 0 && !f.outdated && f.o.seen < f.pruneAt {
		return
	}
	next := f.prune()
	if len(f.waiting) == 0 && !f.outdated {
		return
	}
	added := maps.Clone(f.waiting)
	for id, info := range added {
		next[id] = info.Addr
	}
	value, err := json.Marshal(next)
	if err != nil {
		return // a map of strings can always be encoded
	}
	f.writing = true
	before := f.rev
	go func() {
		ctx, cancel := context.WithTimeout(f.o.ctx, storeTimeout)
		defer cancel()
		rev, err := f.o.n.dep.Store.Commit(ctx, Commit{
			Expected: map[string]int64{ownerKey: f.o.info.Rev, runnersKey: before},
			Puts:     []Put{{Key: runnersKey, Value: value}},
		})
		f.o.post(func() { f.written(next, added, rev, err) })
	}()
}

func (f *fleetRecord) written(next map[string]string, added map[string]scheduler.RunnerInfo, rev int64, err error) {
	f.writing = false
	var conflict *Conflict
	if errors.As(err, &conflict) {
		f.o.n.noteStore("commit", nil)
		for _, item := range conflict.Current {
			if item.Key == runnersKey {
				f.rev = item.Rev
			}
		}
		f.o.claimPassedOn(conflict)
		return
	}
	f.o.n.noteStore("commit", err)
	if err != nil {
		f.retryAt = f.o.seen + storeRetry
		return
	}
	f.rev, f.recorded, f.outdated = rev, next, false
	for id, info := range added {
		if latest, ok := f.waiting[id]; ok && latest.Addr == info.Addr {
			delete(f.waiting, id)
			f.o.sched.RunnerListed(latest)
		}
	}
	f.o.looks.schedule()
}
