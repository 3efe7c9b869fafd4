package configstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

// inForceBound is the time within which a changed configuration must be in force.
const inForceBound = 7 * time.Second

func encodedDoc(t interface{ Fatal(...any) }, workspace string, revision uint64) Doc {
	c := workspaceChange(workspace, fmt.Sprintf("r%d", revision), 0)
	d := Document{Revision: revision, Changes: []string{c.ID}, Source: c.Source}
	value, err := d.encode()
	if err != nil {
		t.Fatal(err)
	}
	return Doc{Name: WorkspaceName(workspace), Revision: revision, JSON: value}
}

func runCache(t *testing.T, kv *fakeStore, test func(c *Cache)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		kv.changed = make(chan struct{}) // a channel from outside the synctest bubble would stop the bubble's clock
		c := NewCache(Options{Store: kv, Log: discardLogger()})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- c.Run(ctx) }()
		test(c)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v", err)
		}
	})
}

// Guards against a return to a lower revision, and against a cache that stays
// outdated, when peers offer older documents and watches stall, fail, return late or
// lose their history.
func TestRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{
			"write", "compact", "offer", "offer", "stall", "fail", "reset watches", "clear faults", "delete", "sleep",
		}), 5, 40).Draw(rt, "steps")
		kv := newFakeStore()
		var problem string
		runCache(t, kv, func(c *Cache) {
			var newest, last uint64
			name := WorkspaceName("a")
			for _, s := range steps {
				applyStep(kv, c, s, r, &newest)
				synctest.Wait()
				now := c.Revisions()[name]
				if now < last {
					problem = fmt.Sprintf("revision decreased from %d to %d after %s", last, now, s)
				}
				last = now
			}
			kv.locked(func() { kv.chooseFault, kv.resetWatches = nil, false })
			time.Sleep(inForceBound)
			if newest > 0 && c.Revisions()[name] != newest {
				problem = fmt.Sprintf("revision %d in force, %d in the store", c.Revisions()[name], newest)
			}
			id := model.TemplateID{Workspace: "a", Name: fmt.Sprintf("r%d", newest)}
			if _, ok := c.Template(id); !ok && newest > 0 {
				problem = "template of the newest revision is missing"
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// applyStep performs one step on the store or the cache.
func applyStep(kv *fakeStore, c *Cache, step string, r *rand.Rand, newest *uint64) {
	must := panicOnFatal{}
	key := documentKey(WorkspaceName("a"))
	fail := func(what fault) func(string, string) (fault, time.Duration) {
		return func(string, string) (fault, time.Duration) { return what, 0 }
	}
	switch step {
	case "write":
		*newest++
		kv.set(key, encodedDoc(must, "a", *newest).JSON)
	case "compact": // with a write that no watch delivers
		*newest++
		kv.locked(func() {
			kv.write(key, encodedDoc(must, "a", *newest).JSON)
			kv.compact()
		})
	case "offer":
		if *newest > 0 {
			c.Offer([]Doc{encodedDoc(must, "a", 1+r.Uint64N(*newest))})
		}
	case "stall":
		kv.locked(func() { kv.chooseFault = fail(faultStall) })
	case "fail":
		kv.locked(func() { kv.chooseFault = fail(faultUnavailable) })
	case "reset watches":
		kv.locked(func() { kv.resetWatches = true })
	case "clear faults":
		kv.locked(func() { kv.chooseFault, kv.resetWatches = nil, false })
	case "delete":
		kv.mu.Lock()
		version := kv.data[key].Version
		kv.mu.Unlock()
		if version != 0 {
			kv.locked(func() {
				kv.revision++
				e := kv.data[key]
				e.Version, e.Deleted = kv.revision, true
				kv.log = append(kv.log, e)
			})
		}
	case "sleep":
		time.Sleep(time.Duration(r.IntN(6000)) * time.Millisecond)
	}
}

// panicOnFatal implements Fatal with a panic, for helpers that run outside of a test function.
type panicOnFatal struct{}

func (panicOnFatal) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// Guards against a change that a stalled watch delays beyond inForceBound.
func TestStalledWatch(t *testing.T) {
	kv := newFakeStore()
	runCache(t, kv, func(c *Cache) {
		time.Sleep(time.Second)
		stalled := false
		kv.locked(func() {
			kv.chooseFault = func(op, _ string) (fault, time.Duration) {
				if op == "watch" && !stalled {
					stalled = true
					return faultStall, 0
				}
				return faultNone, 0
			}
		})
		time.Sleep(DefaultWatchWait) // wait until the first watch has returned; the next one stalls
		kv.set(documentKey(WorkspaceName("a")), encodedDoc(t, "a", 1).JSON)
		notified := c.Subscribe()
		start := time.Now()
		<-notified
		if elapsed := time.Since(start); elapsed > inForceBound || !stalled {
			t.Errorf("in force after %v, stalled %v", elapsed, stalled)
		}
	})
}

// Guards against calls in a tight loop while the store resets every watch, returns
// from watches early, or is unavailable.
func TestFailingCallsAreDelayed(t *testing.T) {
	tests := map[string]func(*fakeStore){
		"reset": func(f *fakeStore) { f.resetWatches = true },
		"early": func(f *fakeStore) { f.returnEarly = true },
		"down": func(f *fakeStore) {
			f.chooseFault = func(string, string) (fault, time.Duration) { return faultUnavailable, 0 }
		},
	}
	for name, prepare := range tests {
		kv := newFakeStore()
		prepare(kv)
		runCache(t, kv, func(*Cache) { time.Sleep(30 * time.Second) })
		if n := kv.count("list") + kv.count("watch"); n < 5 || n > 90 {
			t.Errorf("%s: %d calls in 30 s", name, n)
		}
	}
}

// Guards against the adoption of invalid or mislabelled documents from peers or the
// store in place of valid ones.
func TestUnusableDocuments(t *testing.T) {
	c := NewCache(Options{Store: newFakeStore(), Log: discardLogger()})
	if c.Ready() {
		t.Error("ready before any source answered")
	}
	valid := encodedDoc(t, "a", 5)
	if c.Offer([]Doc{valid}) != 1 || c.Ready() {
		t.Fatal("valid document was not adopted, or a single document made the cache ready")
	}
	if c.OfferAll([]Doc{valid}) != 0 || !c.Ready() {
		t.Fatal("OfferAll with all documents of a peer did not make the cache ready")
	}
	other := encodedDoc(t, "b", 9)
	mislabelled := encodedDoc(t, "a", 4)
	mislabelled.Revision = 99
	for name, d := range map[string]Doc{
		"of another workspace":   {Name: valid.Name, Revision: 9, JSON: other.JSON},
		"higher only in the Doc": mislabelled,
		"not JSON":               {Name: valid.Name, Revision: 9, JSON: []byte("{")},
		"without revision":       {Name: valid.Name, JSON: []byte("{}")},
		"faulty templates":       {Name: valid.Name, JSON: []byte(`{"revision":9,"source":"workspace = 3"}`)},
		"unknown name":           {Name: "workspace/A", JSON: other.JSON},
	} {
		if c.Offer([]Doc{d}) != 0 || c.Revisions()[valid.Name] != 5 || len(c.Templates()) != 1 {
			t.Errorf("document %s was adopted", name)
		}
	}
}

// Guards against drains, pauses or templates that are in the store but not in force
// at the process, and against a lost notification or timeline event.
func TestContents(t *testing.T) {
	kv := newFakeStore()
	events := timeline.NewRecorder(timeline.NewClock(time.Now), "test", 16)
	c := NewCache(Options{Store: kv, Log: discardLogger(), Timeline: events})
	s := NewStore(kv, c, discardLogger())
	notified := c.Subscribe()
	paused := model.TemplateID{Workspace: "a", Name: "w"}
	edits := []CellEdit{
		{Drain: []string{"vm-1", "vm-2"}, Reason: "kernel"},
		{Undrain: []string{"vm-1", "never"}, Pause: []model.TemplateID{paused, paused}},
	}
	for i, edit := range edits {
		change := Change{ID: fmt.Sprint(i), Name: CellName, IfRevision: uint64(i), Author: "o", Cell: &edit}
		if _, err := s.Apply(t.Context(), change); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Apply(t.Context(), workspaceChange("a", "w", 0)); err != nil {
		t.Fatal(err)
	}
	<-notified
	if c.Drained("vm-1") || !c.Drained("vm-2") || c.Drains()["vm-2"].Reason != "kernel" || !c.Paused(paused) {
		t.Errorf("drains %v", c.Drains())
	}
	if len(c.Workspaces()) != 1 || c.Templates()[0].ID != paused || len(c.Docs()) != 2 || len(c.Docs("cell", "none")) != 1 {
		t.Errorf("workspaces %v, templates %v", c.Workspaces(), c.Templates())
	}
	if e := events.Events(""); len(e) != 3 || e[1].Detail != "cell revision 2" {
		t.Errorf("timeline %+v", e)
	}
	peer := NewCache(Options{Store: kv, Log: discardLogger()})
	if peer.Offer(c.Docs()) != 2 || !peer.Drained("vm-2") {
		t.Error("peer did not adopt the documents")
	}
}
