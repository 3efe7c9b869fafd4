package control

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"
)

// recordingLog is a Logger that records the lines of one or more processes.
type recordingLog struct {
	mu    sync.Mutex
	lines []recordedLine
}

type recordedLine struct {
	event  string
	fields logrus.Fields
}

func (r *recordingLog) Log(event string, fields logrus.Fields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, recordedLine{event, fields})
}

func (r *recordingLog) EndJob(string, bool) {}

// fieldNames returns the sorted field names of the first line of an event at or after index from; ok is false if there is
// none.
func (r *recordingLog) fieldNames(event string, from int) (names string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines[from:] {
		if line.event != event {
			continue
		}
		var list []string
		for name := range line.fields {
			list = append(list, name)
		}
		sort.Strings(list)
		return strings.Join(list, " "), true
	}
	return "", false
}

// linesOf returns the number of lines of an event.
func (r *recordingLog) linesOf(event string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, line := range r.lines {
		if line.event == event {
			n++
		}
	}
	return n
}

func (r *recordingLog) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lines)
}

// TestDecisionLines guards against a decision that is not logged, and against a line without the fields that
// docs/OPERATIONS.md documents. Each command causes decisions and lists the events that must be logged.
func TestDecisionLines(t *testing.T) {
	log, runners := &recordingLog{}, newFakeRunners()
	deps := testDeps()
	deps.Log, deps.Runners, deps.Advisor, deps.Directory = log, runners, allEligibleAdvisor{}, fakeDirectory{}
	store := newMemoryStore()
	put := func(key, value string) {
		t.Helper()
		if _, err := store.Commit(context.Background(), Commit{Puts: []Put{{Key: key, Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
	}
	var nodes []*testNode
	jobs := 0
	datadriven.RunTest(t, "testdata/decision_lines", func(t *testing.T, d *datadriven.TestData) string {
		from := log.count()
		switch d.Cmd {
		case "cell":
			put("op/config", "\x01")
			put("servers/a", "ready")
			for range 3 {
				nodes = append(nodes, startNodeWith(t, deps, store, testWeight))
			}
		case "configure":
			put("op/config", "\x02")
		case "submit":
			jobs++
			runners.set(d.HasArg("refused"), d.HasArg("endless"))
			if got := submit(nodes[0], testSpec(jobs)); got != OutcomeStored {
				t.Fatalf("job %d: %s", jobs, got)
			}
		case "cancel":
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if got := nodes[0].Cancel(ctx, Caller{}, testSpec(jobs).ID); got != OutcomeStored {
				t.Fatalf("cancel of job %d: %s", jobs, got)
			}
		case "runner":
			put("servers/a", strings.TrimSpace(d.Input))
		case "lose-store":
			ownersOf(nodes)[0].store.setPartitioned(true)
		case "regain-store":
			for _, n := range nodes {
				n.store.setPartitioned(false)
			}
		case "kill-owner":
			owner := ownersOf(nodes)[0]
			owner.kill()
			nodes = others(nodes, owner)
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		var out strings.Builder
		for _, arg := range d.CmdArgs {
			if arg.Key != "events" {
				continue
			}
			for _, event := range arg.Vals {
				var names string
				eventually(t, 5*time.Second, "a line for event "+event, func() (ok bool) {
					names, ok = log.fieldNames(event, from)
					return ok
				})
				fmt.Fprintf(&out, "%s: %s\n", event, names)
			}
		}
		return out.String()
	})
}
