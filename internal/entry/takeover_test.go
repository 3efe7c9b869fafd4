package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/shard"
)

// jobKey returns the key of a job of shard 0, a different one for each index.
func jobKey(index int) model.RequestKey {
	key := model.RequestKey{Template: model.TemplateID{Workspace: "w", Name: "job"}}
	for i := 0; ; i++ {
		if key.ID = fmt.Sprintf("job-%d-%d", index, i); key.Shard() == 0 {
			return key
		}
	}
}

// accepted returns the record of an accepted job.
func accepted(key model.RequestKey) shard.Record {
	return shard.Record{
		Kind: shard.RecordAcceptance, Shard: key.Shard(), Key: key, Time: time.Now(), Async: true,
		Acceptance: &shard.Acceptance{Kind: model.KindJob, Tasks: 1, Resources: model.Resources{CoresMilli: 1}},
	}
}

// entries decodes journal entries: JSON text, or the records of keys.
func entries(t *testing.T, list ...any) []journalEntry {
	out := make([]journalEntry, len(list))
	for i, e := range list {
		switch e := e.(type) {
		case string:
			if err := json.Unmarshal([]byte(e), &out[i]); err != nil {
				t.Fatal(err)
			}
		case model.RequestKey:
			r := accepted(e)
			out[i].Record = &r
		}
	}
	return out
}

// applyEvents applies events of the loop until the condition is true, for at most 2 s.
func applyEvents(l *loop, condition func() bool) bool {
	for deadline := time.After(2 * time.Second); !condition(); {
		select {
		case e := <-l.events:
			e.apply(l)
		case <-deadline:
			return false
		}
	}
	return true
}

// freezeShard makes the node hold shard 0 with a job, frozen for another process.
func freezeShard(l *loop, epoch uint64, key model.RequestKey) {
	l.takeover.freeze(l.now(), 0)
	l.table.Drop(l.now(), 0)
	l.table.Import(l.now(), shard.Snapshot{Records: []shard.Record{accepted(key)}})
	l.takeover.frozen[0], l.takeover.held[0] = false, epoch
	l.takeover.freeze(l.now(), 0)
}

// Guards against accepted jobs and at-most-once records that are lost, so that work runs
// again, when two owners of a shard die one after the other: the journal of the first is
// removed once the second has adopted it.
func TestAdoptedRecordsSurviveTheNextOwner(t *testing.T) {
	n, store := testNode(t)
	l, key := n.loop, jobKey(1)
	l.view = model.View{Number: 4, Members: []model.Member{n.self}, Predecessors: []string{"dead"}}
	first := newAcquisition(l.takeover, l.view, []model.ShardID{0})
	first.addJournalEntries(entries(t, `{"own":{"shard":0,"epoch":3}}`, key))
	first.pending = nil
	l.takeover.activeAcquisition, l.vmListLoaded = first, true
	first.completeIfDone()
	if len(l.takeover.adoptedList()) > 0 {
		t.Error("the journal of the dead owner counts as adopted before its records are written again")
	}
	ended := make(chan error, 1)
	go func() { ended <- n.journal.Run(n.ctx) }()
	if !applyEvents(l, func() bool { return len(l.takeover.adoptedList()) > 0 }) {
		t.Fatal("the journal of the dead owner is never adopted")
	}
	n.cancel(nil)
	<-ended
	if err := journal.Seal(t.Context(), store, n.self.Incarnation, "other"); err != nil {
		t.Fatal(err)
	}
	var written []journalEntry
	if err := journal.Replay(t.Context(), store, n.self.Incarnation, func(data []byte) error {
		e, err := decodeJournalEntry(data)
		written = append(written, e)
		return err
	}); err != nil {
		t.Fatal(err)
	}
	second := newAcquisition(l.takeover, l.view, []model.ShardID{0})
	second.addJournalEntries(written)
	if best := second.best[0]; best.epoch != 4 || len(best.records) != 1 || best.records[0].Key != key {
		t.Errorf("the next owner finds %+v", best)
	}
}

// Guards against the choice of a state that is not the newest complete one: of a holder that
// died while it took the shard over, and of a frozen one that was taken over since. Jobs
// would be lost, and work that has run would run again.
func TestNewestCompleteStateIsTaken(t *testing.T) {
	const complete, loading = `{"own":{"shard":0,"epoch":3}}`, `{"own":{"shard":0,"epoch":5,"loading":true}}`
	own, dead, live := jobKey(1), jobKey(2), jobKey(3)
	for name, c := range map[string]struct {
		journal   []any
		live      uint64 // epoch of a live holder, 0 if there is none
		frozen    uint64 // epoch of the frozen state of this process, 0 if there is none
		want      model.RequestKey
		recovered bool // the pool owners have to be queried
	}{
		"dead holder":                           {journal: []any{complete, dead}, live: 2, want: dead, recovered: true},
		"dead holder, all loaded":               {journal: []any{loading, dead, `{"loaded":0}`}, live: 2, want: dead, recovered: true},
		"dead holder, partly loaded":            {journal: []any{loading, dead}, live: 4, want: live, recovered: true},
		"dead holder, partly loaded from own":   {journal: []any{complete, dead, loading}, want: dead, recovered: true},
		"live holder":                           {journal: []any{complete, dead}, live: 4, want: live},
		"frozen here":                           {frozen: 4, want: own},
		"frozen here, taken over since":         {journal: []any{`{"own":{"shard":0,"epoch":5}}`, dead}, frozen: 4, want: dead, recovered: true},
		"frozen here, partly taken over since":  {journal: []any{loading, dead}, frozen: 4, want: own, recovered: true},
		"frozen here, older than a live holder": {live: 5, frozen: 4, want: live},
	} {
		t.Run(name, func(t *testing.T) {
			n := ownerNode(t)
			l := n.loop
			if c.frozen > 0 {
				freezeShard(l, c.frozen, own)
			} else {
				l.takeover.freeze(l.now(), 0)
				l.takeover.release([]model.ShardID{0}, 0)
			}
			v := model.View{Number: 6, Members: []model.Member{n.self}, Leaving: []string{"live"}}
			if c.journal != nil {
				v.Predecessors = []string{"dead"}
			}
			l.view = v
			l.takeover.install(v)
			a := l.takeover.activeAcquisition
			if a == nil {
				t.Fatal("the state of other processes is not requested")
			}
			a.addJournalEntries(entries(t, c.journal...))
			if c.live > 0 {
				snapshot := shard.Snapshot{Records: []shard.Record{accepted(live)}}
				claimReplied{acquisition: a, from: "live", exports: []shardExport{{Epoch: c.live, Snapshot: snapshot}}}.apply(l)
			}
			clear(a.pending)
			a.completeIfDone()
			for _, key := range []model.RequestKey{own, dead, live} {
				if _, found := l.table.Status(key); found != (key == c.want) {
					t.Errorf("%s: found %v", key, found)
				}
			}
			if _, recovering := l.table.Recovering(0); recovering != c.recovered || !l.takeover.serves(0) {
				t.Errorf("recovering %v, want %v", recovering, c.recovered)
			}
		})
	}
}

// Guards against a shard that stays in recovery for ever, so that requests are held, because
// it was handed over before the recovery had ended.
func TestHandedOverRecoveryIsContinued(t *testing.T) {
	n := ownerNode(t)
	l := n.loop
	l.takeover.freeze(l.now(), 0)
	l.takeover.release([]model.ShardID{0}, 0)
	a := newAcquisition(l.takeover, l.view, []model.ShardID{0})
	snapshot := shard.Snapshot{Recovery: shard.Recovery{TakenAt: l.now(), Pools: []model.PoolID{"worker/z/r"}}}
	a.best[0] = candidateState{epoch: 1, snapshot: &snapshot}
	a.installShards()
	queried := false
	for deadline := time.After(2 * time.Second); !queried; {
		select {
		case e := <-l.events:
			_, queried = e.(attemptsRequest)
		case <-deadline:
			t.Fatal("the pool owners are not queried")
		}
	}
}

// Guards against a takeover that never completes because of the journal of a dead process: it
// was removed, after its adoption, before the process was removed from the view, or it is
// damaged. Work whose record may be lost must not run a second time.
func TestUnreadableJournalCompletesTakeover(t *testing.T) {
	key := jobKey(1)
	for name, c := range map[string]struct {
		damage    func(ctx context.Context, store platform.Store) error
		undecoded string // a record that is no entry
		damaged   bool
	}{
		"intact":          {},
		"removed":         {damage: func(ctx context.Context, store platform.Store) error { return journal.Remove(ctx, store, "dead") }},
		"undecoded entry": {undecoded: "{", damaged: true},
		"corrupt segment": {damaged: true, damage: func(ctx context.Context, store platform.Store) error {
			e, err := store.Get(ctx, "journal/dead/00000000000000000001")
			if err == nil {
				_, err = store.Put(ctx, e.Key, []byte("damaged"), platform.PutOptions{IfVersion: e.Version})
			}
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			n := ownerNode(t)
			l, store, ctx := n.loop, n.cfg.Store, t.Context()
			w := journal.NewWriter(journal.Config{Store: store, Incarnation: "dead"})
			go func() { _ = w.Run(ctx) }()
			w.Append([]byte(cmp.Or(c.undecoded, `{"own":{"shard":0,"epoch":1}}`)), time.Time{}, func(error) {})
			if err := w.Flush(ctx); err != nil {
				t.Fatal(err)
			}
			if err := journal.Seal(ctx, store, "dead", "other"); err != nil {
				t.Fatal(err)
			}
			if c.damage != nil {
				if err := c.damage(ctx, store); err != nil {
					t.Fatal(err)
				}
			}
			l.takeover.freeze(l.now(), 0)
			l.takeover.release([]model.ShardID{0}, 0)
			a := newAcquisition(l.takeover, model.View{Number: 9, Predecessors: []string{"dead"}}, []model.ShardID{0})
			l.takeover.activeAcquisition = a
			for try := 0; l.takeover.activeAcquisition != nil; try++ {
				if try > 12 {
					t.Fatal("the takeover does not complete")
				}
				a.retryAt = time.Time{}
				a.tick(l.now())
				applyEvents(l, func() bool { return len(a.inFlight) == 0 })
			}
			if l.table.Incomplete(l.now(), 0) != c.damaged {
				t.Errorf("incomplete: %v, want %v", !c.damaged, c.damaged)
			}
			reply := make(chan model.Reply, 1)
			submitRequest{submission: model.Submission{Key: key, Async: true}, waiter: reply}.apply(l)
			if unknown := len(reply) > 0 && (<-reply).Outcome == model.OutcomeUnknown; unknown != c.damaged {
				t.Errorf("an older request: unknown %v, want %v", unknown, c.damaged)
			}
		})
	}
}

// Guards against messages of an earlier takeover that take effect in a later one: a shard
// that is released, or a journal that is removed, while its state is still needed.
func TestMessagesOfEarlierTakeoversAreIgnored(t *testing.T) {
	n := ownerNode(t)
	l := n.loop
	freezeShard(l, 4, jobKey(1))
	releaseReceived{shards: []model.ShardID{0}, epoch: 3}.apply(l)
	if l.takeover.empty() || !l.takeover.frozen[0] {
		t.Error("a shard was released by an earlier owner")
	}
	releaseReceived{shards: []model.ShardID{0}, epoch: 5}.apply(l)
	if _, held := l.takeover.held[0]; held {
		t.Error("the shard was not released by the new owner")
	}
	v := model.View{Number: 7, Members: []model.Member{n.self, {Incarnation: "peer"}}, Predecessors: []string{"dead"}}
	adopted := GossipArgs{Header: Header{From: "peer", View: 1}, Adopted: []string{"dead"}, AdoptedView: 1}
	gossipReceived{args: adopted}.apply(l)
	l.takeover.adopted["dead"] = true
	l.installView(v)
	gossipReceived{args: adopted}.apply(l)
	l.takeover.adopted["dead"] = true
	if l.takeover.adoptedByAll(v, "dead") {
		t.Error("adopted under an earlier view")
	}
	adopted.AdoptedView = 7
	gossipReceived{args: adopted}.apply(l)
	if !l.takeover.adoptedByAll(v, "dead") {
		t.Error("not adopted")
	}
}
