package control

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/scheduler"
)

// pruneInterval is how often runners that are no longer listed and can't have runs are deleted from the stored list, so
// that no successor waits for them.
const pruneInterval = time.Second

// unknownRunners stands for all runners of the predecessors if their list can't be decoded. It can't be called, so the jobs
// of predecessors wait until every lease that these have sent has expired.
const unknownRunners = "unknown"

// usedRunners keeps, in the store, the list of the runners that owners have used. A runner is used only after it has been
// recorded there, so that a successor knows every runner on which a run may exist. It is recorded when it has answered for the
// first time: a successor waits for each recorded runner, and an entry of another writer may lead to none.
type usedRunners struct {
	o          *ownership
	rev        int64
	recorded   map[string]string // address by identifier; the store may hold more
	outdated   bool              // the store still lists runners that prune has dropped
	pruneAt    time.Duration
	unrecorded map[string]string // address of the runners to be recorded, by identifier
	writing    bool
	retryAt    time.Duration
}

func newUsedRunners(o *ownership) *usedRunners {
	return &usedRunners{o: o, recorded: map[string]string{}, unrecorded: map[string]string{}}
}

// load reads the runners that earlier owners used.
func (r *usedRunners) load() error {
	var item Item
	var found bool
	err := r.o.retryRead(runnersKey, func() (err error) {
		ctx, cancel := context.WithTimeout(r.o.ctx, 2*storeTimeout)
		defer cancel()
		item, found, err = r.o.n.dep.Store.Get(ctx, runnersKey)
		r.o.n.recordStoreCall("get", err)
		return err
	})
	if err != nil || !found {
		return err
	}
	r.rev = item.Rev
	if err := json.Unmarshal(item.Value, &r.recorded); err != nil {
		r.o.n.dep.Log.Log("bad-used-runners", logrus.Fields{"key": runnersKey, "error": err.Error()})
		r.recorded = map[string]string{unknownRunners: ""}
	}
	r.inherit()
	return nil
}

// inherit passes the runners that earlier owners used to the scheduler.
func (r *usedRunners) inherit() {
	for id, addr := range r.recorded {
		r.o.sched.RunnerInherited(id, addr)
	}
}

// record reports whether a runner that has answered is recorded at its address. If it isn't, it is recorded; until then its
// answers don't count.
func (r *usedRunners) record(ref scheduler.RunnerRef) bool {
	if r.recorded[ref.ID] == ref.Addr {
		return true
	}
	if r.unrecorded[ref.ID] != ref.Addr {
		r.unrecorded[ref.ID] = ref.Addr
		r.write()
	}
	return false
}

func (r *usedRunners) remove(id string) {
	delete(r.unrecorded, id)
	r.o.sched.RunnerDelisted(id)
}

// prune drops the runners on which no run can exist any more and returns the others. A runner that comes back, even while
// the list is being written, is recorded again before it is used.
func (r *usedRunners) prune() map[string]string {
	toPoll := map[string]bool{}
	for _, ref := range r.o.sched.RunnersToPoll() {
		toPoll[ref.ID] = true
	}
	for id := range r.recorded {
		if !toPoll[id] {
			delete(r.recorded, id)
			r.outdated = true
		}
	}
	r.pruneAt = r.o.loopTime + pruneInterval
	return maps.Clone(r.recorded)
}

// write records the new runners and deletes those on which no run can exist any more.
func (r *usedRunners) write() {
	if r.writing || r.o.loopTime < r.retryAt {
		return
	}
	if len(r.unrecorded) == 0 && !r.outdated && r.o.loopTime < r.pruneAt {
		return
	}
	next := r.prune()
	if len(r.unrecorded) == 0 && !r.outdated {
		return
	}
	added := maps.Clone(r.unrecorded)
	maps.Copy(next, added)
	value, err := json.Marshal(next)
	if err != nil {
		return // a map of strings can always be encoded
	}
	r.writing = true
	before := r.rev
	go func() {
		ctx, cancel := context.WithTimeout(r.o.ctx, storeTimeout)
		defer cancel()
		rev, err := r.o.n.dep.Store.Commit(ctx, Commit{
			Expected: map[string]int64{ownerKey: r.o.info.Rev, runnersKey: before},
			Puts:     []Put{{Key: runnersKey, Value: value}},
		})
		r.o.post(func() { r.writeFinished(next, added, rev, err) })
	}()
}

func (r *usedRunners) writeFinished(next map[string]string, added map[string]string, rev int64, err error) {
	r.writing = false
	var conflict *Conflict
	if errors.As(err, &conflict) {
		r.o.n.recordStoreCall("commit", nil)
		for _, item := range conflict.Current {
			if item.Key == runnersKey {
				r.rev = item.Rev
			}
		}
		r.o.claimLost(conflict)
		return
	}
	r.o.n.recordStoreCall("commit", err)
	if err != nil {
		r.retryAt = r.o.loopTime + storeRetry
		return
	}
	r.rev, r.recorded, r.outdated = rev, next, false
	for id, addr := range added {
		if r.unrecorded[id] == addr {
			delete(r.unrecorded, id)
			r.o.poller.pollSoon(id)
		}
	}
	r.o.poller.pollDue()
}
