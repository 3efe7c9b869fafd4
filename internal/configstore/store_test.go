package configstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/settings"
)

func discardLogger() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func workspaceChange(workspace, id string, ifRevision uint64) Change {
	return Change{
		ID: id, Name: WorkspaceName(workspace), IfRevision: ifRevision, Author: "op-" + id, At: time.Unix(0, 0).UTC(),
		Source: fmt.Sprintf("workspace = %q\n[template.%s]\nkind = \"request\"\nservice = \"s\"\n", workspace, id),
	}
}

// request and result are one operation on a document, for porcupine.
type request struct {
	read       bool
	name, id   string
	ifRevision uint64
}

type result struct {
	revision   uint64 // revision that was created, is in force or was read
	lastChange string // change that created the revision that was read
	conflict   bool
	unknown    bool
}

// documentModel models a document as the list of its changes.
var documentModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, op := range history {
			name := op.Input.(request).name
			byName[name] = append(byName[name], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byName {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		return stepDocument(state.(string), input.(request), output.(result))
	},
}

func stepDocument(state string, in request, out result) (bool, any) {
	changes := strings.Fields(state)
	revision := uint64(len(changes))
	at := slices.Index(changes, in.id)
	if in.read {
		return out.revision == revision && (revision == 0 || out.lastChange == changes[revision-1]), state
	}
	after := strings.Join(append(changes, in.id), " ")
	switch {
	case out.unknown && at < 0 && in.ifRevision == revision:
		return true, after // the write took effect, but the reply was lost
	case out.unknown:
		return true, state
	case out.conflict:
		return at < 0 && in.ifRevision != revision && out.revision == revision, state
	case at >= 0:
		return out.revision == uint64(at+1), state
	default:
		return in.ifRevision == revision && out.revision == revision+1, after
	}
}

// history collects operations with logical times.
type history struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

func (h *history) record(client int, in request, call func() (result, bool)) result {
	start := h.clock.Add(1)
	out, counts := call()
	end := h.clock.Add(1)
	if out.unknown {
		end = 1 << 62 // may take effect at any later time
	}
	if counts {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: start, Return: end})
	}
	return out
}

// Guards against a change that is applied twice, is lost, or overwrites another
// operator's change, when operators make concurrent changes and a failed write to the
// store has taken effect, never does, or does so long after the call has failed.
func TestRacingOperators(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		operators := rapid.IntRange(2, 4).Draw(rt, "operators")
		rounds := rapid.IntRange(2, 5).Draw(rt, "rounds")
		faulty := rapid.IntRange(0, 60).Draw(rt, "percent of faulty calls")
		var h history
		synctest.Test(t, func(*testing.T) {
			kv := newFakeStore()
			random := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			kv.chooseFault = func(op, _ string) (fault, time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				latency := time.Duration(random.IntN(20)) * time.Millisecond
				if random.IntN(100) >= faulty {
					return faultNone, latency
				}
				return fault(1 + random.IntN(int(faultDelayedWrite))), latency
			}
			var group sync.WaitGroup
			for i := range operators {
				r := rand.New(rand.NewPCG(seed, uint64(i)+2))
				group.Go(func() { runOperator(&h, NewStore(kv, nil, discardLogger()), i, rounds, r) })
			}
			group.Wait()
			kv.delayedWrites.Wait()
		})
		for _, op := range h.ops {
			switch out := op.Output.(result); {
			case out.unknown:
				totals["unknown"]++
			case out.conflict:
				totals["conflict"]++
			case !op.Input.(request).read:
				totals["applied"]++
			}
		}
		if !porcupine.CheckOperations(documentModel, h.ops) {
			for _, op := range h.ops {
				rt.Logf("%d %d-%d %+v %+v", op.ClientId, op.Call, op.Return, op.Input, op.Output)
			}
			rt.Fatalf("history is not linearizable")
		}
	})
	t.Logf("outcomes: %v", totals)
	for _, outcome := range []string{"unknown", "conflict", "applied"} {
		if totals[outcome] == 0 {
			t.Errorf("no operation had the outcome %s, so the test coverage is too low", outcome)
		}
	}
}

// runOperator reads and changes documents as one operator does. It resubmits a change
// whose outcome is unknown, and also some changes with a known outcome.
func runOperator(h *history, s *Store, client, rounds int, r *rand.Rand) {
	for round := range rounds {
		workspace := []string{"a", "b"}[r.IntN(2)]
		name := WorkspaceName(workspace)
		seen := h.record(client, request{read: true, name: name}, func() (result, bool) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			d, err := s.Get(ctx, name)
			if errors.Is(err, ErrNoDocument) {
				return result{}, true
			}
			if err != nil {
				return result{}, false
			}
			return result{revision: d.Revision, lastChange: d.Changes[len(d.Changes)-1]}, true
		})
		c := workspaceChange(workspace, fmt.Sprintf("c%d-%d", client, round), seen.revision)
		for range 3 {
			out := h.record(client, request{name: name, id: c.ID, ifRevision: c.IfRevision}, func() (result, bool) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(100+r.IntN(400))*time.Millisecond)
				defer cancel()
				return applyResult(s.Apply(ctx, c))
			})
			if !out.unknown && r.IntN(3) > 0 {
				break
			}
		}
	}
}

func applyResult(revision uint64, err error) (result, bool) {
	var conflict *ConflictError
	var uncertain *UncertainError
	switch {
	case err == nil:
		return result{revision: revision}, true
	case errors.As(err, &conflict):
		return result{conflict: true, revision: conflict.InForce}, true
	case errors.As(err, &uncertain):
		return result{unknown: true}, true
	default:
		return result{}, false // the document was not changed
	}
}

// Guards against a conflict error that lacks the revision in force, its author or the
// difference.
func TestConflict(t *testing.T) {
	s := NewStore(newFakeStore(), nil, discardLogger())
	for i := range 2 {
		if _, err := s.Apply(t.Context(), workspaceChange("a", fmt.Sprintf("w%d", i), uint64(i))); err != nil {
			t.Fatal(err)
		}
	}
	_, err := s.Apply(t.Context(), workspaceChange("a", "loser", 1))
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v", err)
	}
	if conflict.InForce != 2 || conflict.Author != "op-w1" || conflict.Unsettled ||
		conflict.Diff != "-[template.w1]\n+[template.loser]\n" {
		t.Errorf("got %+v", conflict)
	}
}

// Guards against a change that is resubmitted after the document has stopped listing
// it, and is then applied twice or reported as not applied.
func TestLateResubmission(t *testing.T) {
	s := NewStore(newFakeStore(), nil, discardLogger())
	first := workspaceChange("a", "first", 0)
	for i := range maxListedChanges {
		c := first
		if i > 0 {
			c = workspaceChange("a", fmt.Sprintf("c%d", i), uint64(i))
		}
		if _, err := s.Apply(t.Context(), c); err != nil {
			t.Fatal(err)
		}
	}
	if revision, err := s.Apply(t.Context(), first); err != nil || revision != 1 {
		t.Fatalf("listed change: got %d, %v", revision, err)
	}
	if _, err := s.Apply(t.Context(), workspaceChange("a", "one-more", maxListedChanges)); err != nil {
		t.Fatal(err)
	}
	var conflict *ConflictError
	if _, err := s.Apply(t.Context(), first); !errors.As(err, &conflict) || !conflict.Unsettled {
		t.Fatalf("change that is no longer listed: got %v", err)
	}
}

// Guards against a history that has gaps, grows without limit, or has keys with the
// prefix that every process watches.
func TestHistory(t *testing.T) {
	kv := newFakeStore()
	s := NewStore(kv, nil, discardLogger())
	const changes = 30
	for i := range changes {
		if _, err := s.Apply(t.Context(), workspaceChange("a", fmt.Sprintf("c%d", i), uint64(i))); err != nil {
			t.Fatal(err)
		}
	}
	revisions, err := s.History(t.Context(), WorkspaceName("a"))
	if err != nil || len(revisions) != maxHistory {
		t.Fatalf("got %d revisions, %v", len(revisions), err)
	}
	for i, d := range revisions {
		want := uint64(changes - i)
		if d.Revision != want || !strings.Contains(d.Source, fmt.Sprintf("c%d]", want-1)) {
			t.Errorf("entry %d: revision %d, %q", i, d.Revision, d.Source)
		}
	}
	if _, err := s.History(t.Context(), WorkspaceName("none")); !errors.Is(err, ErrNoDocument) {
		t.Errorf("missing document: got %v", err)
	}
	watched := 0
	for key := range kv.data {
		if strings.HasPrefix(key, Prefix) {
			watched++
		}
	}
	if watched != 1 || len(kv.data) != maxHistory {
		t.Errorf("%d keys, %d of them watched", len(kv.data), watched)
	}
}

// Guards against an operator who waits too long or gets the wrong kind of error when
// the store hangs, is unavailable or loses requests.
func TestApplyUnderFaults(t *testing.T) {
	tests := []struct {
		name      string
		put       fault
		uncertain bool
	}{
		{"down", faultUnavailable, false},
		{"stalled", faultStall, true},
		{"requests lost", faultRequestLost, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := newFakeStore()
				kv.chooseFault = func(op, _ string) (fault, time.Duration) {
					if op == "put" {
						return test.put, 0
					}
					return faultNone, 0
				}
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				defer cancel()
				start := time.Now()
				_, err := NewStore(kv, nil, discardLogger()).Apply(ctx, workspaceChange("a", "c", 0))
				var uncertain *UncertainError
				if err == nil || errors.As(err, &uncertain) != test.uncertain {
					t.Errorf("got %v", err)
				}
				if !test.uncertain && !errors.Is(err, platform.ErrUnavailable) {
					t.Errorf("got %v", err)
				}
				if elapsed := time.Since(start); elapsed > 9*time.Second {
					t.Errorf("took %v", elapsed)
				}
				if n := kv.count("put"); n < 2 || n > 30 {
					t.Errorf("%d writes in 8 s", n)
				}
			})
		})
	}
}

// Guards against writing changes to the store that are malformed or meant for another
// document.
func TestInvalidChanges(t *testing.T) {
	kv := newFakeStore()
	s := NewStore(kv, nil, discardLogger())
	change := func(edit func(*Change)) Change {
		c := workspaceChange("a", "c", 0)
		edit(&c)
		return c
	}
	cell := func(e CellEdit) Change { return Change{ID: "c", Name: CellName, Author: "o", Cell: &e} }
	tests := []struct {
		name   string
		change Change
		field  string // of the InvalidError; empty for findings
	}{
		{"no id", change(func(c *Change) { c.ID = "" }), "id"},
		{"id with space", change(func(c *Change) { c.ID = "a b" }), "id"},
		{"no author", change(func(c *Change) { c.Author = "" }), "author"},
		{"unknown document", change(func(c *Change) { c.Name = "workspace/../cell" }), "name"},
		{"long note", change(func(c *Change) { c.Note = strings.Repeat("x", 600) }), "note"},
		{"edit of a workspace", change(func(c *Change) { c.Cell = &CellEdit{} }), "cell"},
		{"faulty source", change(func(c *Change) { c.Source = "x" }), ""},
		{"source of another workspace", change(func(c *Change) { c.Source = "workspace = \"b\"" }), ""},
		{"empty edit", cell(CellEdit{}), "cell"},
		{"drain without reason", cell(CellEdit{Drain: []string{"vm"}}), "reason"},
		{"VM with control character", cell(CellEdit{Undrain: []string{"vm\n"}}), "drain"},
		{"pause of no template", cell(CellEdit{Pause: []model.TemplateID{{Workspace: "a"}}}), "pause"},
	}
	for _, test := range tests {
		_, err := s.Apply(t.Context(), test.change)
		var invalid *InvalidError
		var findings settings.Findings
		switch {
		case test.field == "" && errors.As(err, &findings):
		case test.field != "" && errors.As(err, &invalid) && invalid.Field == test.field:
		default:
			t.Errorf("%s: got %v", test.name, err)
		}
	}
	many := make([]string, 10000)
	for i := range many {
		many[i] = fmt.Sprintf("vm-%0100d", i)
	}
	if _, err := s.Apply(t.Context(), cell(CellEdit{Drain: many, Reason: "flood"})); !errors.Is(err, ErrTooLarge) {
		t.Errorf("large document: got %v", err)
	}
	if n := kv.count("put"); n > 0 {
		t.Errorf("%d writes", n)
	}
}

// Guards against a caller that waits until its deadline because a stored document can't
// be decoded: reading it again doesn't help.
func TestMalformedDocumentIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeStore()
		if _, err := kv.Put(t.Context(), documentKey(WorkspaceName("a")), []byte("{"), platform.PutOptions{IfVersion: platform.CreateOnly}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		start := time.Now()
		_, err := NewStore(kv, nil, discardLogger()).Apply(ctx, workspaceChange("a", "c", 1))
		if err == nil || time.Since(start) > time.Second {
			t.Errorf("got %v after %s", err, time.Since(start))
		}
	})
}

// Guards against a history without its newest revisions while old ones have not been
// deleted yet, as after a time in which the deletions failed.
func TestHistoryShowsTheNewest(t *testing.T) {
	kv := newFakeStore()
	s := NewStore(kv, nil, discardLogger())
	const changes = 2 * (maxHistory + pruneBatch)
	kv.chooseFault = func(op, _ string) (fault, time.Duration) {
		if op == "delete" {
			return faultUnavailable, 0
		}
		return faultNone, 0
	}
	for i := range changes {
		if _, err := s.Apply(t.Context(), workspaceChange("a", fmt.Sprintf("c%d", i), uint64(i))); err != nil {
			t.Fatal(err)
		}
	}
	revisions, err := s.History(t.Context(), WorkspaceName("a"))
	if err != nil || len(revisions) != maxHistory {
		t.Fatalf("got %d revisions, %v", len(revisions), err)
	}
	for i, d := range revisions {
		if d.Revision != uint64(changes-i) {
			t.Errorf("entry %d: revision %d", i, d.Revision)
		}
	}
}
