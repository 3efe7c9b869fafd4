package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/gateway"
	platformstandin "github.com/agateyard/agateyard/internal/platform/standin"
)

const (
	configLimit = 7 * time.Second // from acceptance until in force at every live member
	configAim   = 2 * time.Second
	// The operators race for this document; the cell starts without it.
	contestedWorkspace = "sabra"
	// configRounds times the number of operators stays under the 32 changes that
	// a document lists, so that every repeat has a certain outcome.
	configRounds    = 5
	configOperators = 4
	changeMark      = "# change "
)

// docInput and docOutput are one operation on the contested document.
type docInput struct {
	read       bool
	id         string
	ifRevision uint64
}

type docOutput struct {
	revision uint64 // made, in force, or read
	last     string // change that made the read revision
	conflict bool
	unknown  bool
}

// docModel is the contested document as the list of its changes.
var docModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		return docStep(state.(string), input.(docInput), output.(docOutput))
	},
}

func docStep(state string, in docInput, out docOutput) (bool, any) {
	changes := strings.Fields(state)
	revision := uint64(len(changes))
	if in.read {
		return out.revision == revision && (revision == 0 || out.last == changes[revision-1]), state
	}
	at := slices.Index(changes, in.id)
	after := strings.Join(append(changes, in.id), " ")
	switch {
	case out.unknown && at < 0 && in.ifRevision == revision:
		return true, after
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

// configWatch records what operators were told and what each process had in force.
type configWatch struct {
	t     *testing.T
	began time.Time

	mu       sync.Mutex
	ops      []porcupine.Operation
	accepted map[uint64]time.Time // revision to the time of the answer
	// reached lists when a process first showed a revision, ascending.
	reached map[*entryProc][]revisionAt
	seen    map[string]uint64 // highest revision by observer and observed member
}

type revisionAt struct {
	revision uint64
	at       time.Time
}

func newConfigWatch(t *testing.T) *configWatch {
	return &configWatch{
		t: t, began: time.Now(), accepted: make(map[uint64]time.Time),
		reached: make(map[*entryProc][]revisionAt), seen: make(map[string]uint64),
	}
}

func (w *configWatch) record(operator int, in docInput, out docOutput, from time.Time) {
	now := time.Now()
	end := now.Sub(w.began).Nanoseconds()
	if out.unknown {
		end = 1 << 62 // may take effect at any later time
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ops = append(w.ops, porcupine.Operation{
		ClientId: operator, Input: in, Output: out,
		Call: from.Sub(w.began).Nanoseconds(), Return: end,
	})
	if !in.read && !out.unknown && !out.conflict {
		if _, ok := w.accepted[out.revision]; !ok {
			w.accepted[out.revision] = now
		}
	}
}

// note checks that a revision never goes down from one look to the next.
func (w *configWatch) note(key string, revision uint64) {
	if revision < w.seen[key] {
		w.t.Errorf("%s: revision %d after %d", key, revision, w.seen[key])
	}
	w.seen[key] = max(w.seen[key], revision)
}

// observe polls one process until stop closes. The list of workspaces gives the
// time at which a revision is in force there, as /v1/status waits for all members.
func (w *configWatch) observe(e *entryProc, stop <-chan struct{}) {
	var wg sync.WaitGroup
	poll := func(look func()) {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
					look()
				}
			}
		})
	}
	poll(func() { w.lookAtStatus(e) })
	poll(func() { w.lookAtWorkspaces(e) })
	wg.Wait()
}

func (w *configWatch) lookAtStatus(e *entryProc) {
	var s gateway.CellStatus
	if getJSON("http://"+e.http+"/v1/status", &s) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range s.Members {
		if m.Reachable {
			w.note(e.name+" about "+m.Incarnation, m.Revisions[configstore.WorkspaceName(contestedWorkspace)])
		}
	}
}

func (w *configWatch) lookAtWorkspaces(e *entryProc) {
	var list gateway.WorkspaceList
	if getJSON("http://"+e.http+"/v1/config/workspaces", &list) != nil {
		return
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var revision uint64
	for _, ws := range list.Workspaces {
		if ws.Workspace == contestedWorkspace {
			revision = ws.Revision
		}
	}
	w.note(e.name, revision)
	if at := w.reached[e]; len(at) == 0 || at[len(at)-1].revision < revision {
		w.reached[e] = append(at, revisionAt{revision, now})
	}
}

// checkInForce verifies the time until each accepted revision was in force at a
// process. Time before since does not count: the process was not there.
func (w *configWatch) checkInForce(e *entryProc, since time.Time) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest time.Duration
	for revision, at := range w.accepted {
		i := slices.IndexFunc(w.reached[e], func(r revisionAt) bool { return r.revision >= revision })
		if i < 0 {
			w.t.Errorf("%s: accepted revision %d never came into force", e.name, revision)
			continue
		}
		if at.Before(since) {
			at = since
		}
		lag := w.reached[e][i].at.Sub(at)
		longest = max(longest, lag)
		if lag > configLimit {
			w.t.Errorf("%s: revision %d in force only after %v", e.name, revision, lag)
		}
	}
	w.t.Logf("%s: %d revisions, in force after %v at the latest (aim %v)", e.name, len(w.accepted), longest.Round(time.Millisecond), configAim)
}

func (w *configWatch) checkHistory() {
	w.t.Helper()
	totals := make(map[string]int)
	for _, op := range w.ops {
		switch out := op.Output.(docOutput); {
		case op.Input.(docInput).read:
			totals["read"]++
		case out.unknown:
			totals["unknown"]++
		case out.conflict:
			totals["conflict"]++
		default:
			totals["applied"]++
		}
	}
	w.t.Logf("operations %v, revisions %d", totals, len(w.accepted))
	if totals["applied"] == 0 || totals["conflict"] == 0 {
		w.t.Errorf("the operators did not race: %v", totals)
	}
	if got := porcupine.CheckOperationsTimeout(docModel, w.ops, 10*time.Second); got != porcupine.Ok {
		for _, op := range w.ops {
			w.t.Logf("%d %d-%d %+v %+v", op.ClientId, op.Call, op.Return, op.Input, op.Output)
		}
		w.t.Errorf("history of the document: %s", got)
	}
}

// operate reads and changes the document as one operator does: a change whose
// outcome is unknown is sent again through another process.
func (w *configWatch) operate(operator int, seed int64, addresses func() []string, rnd *rand.Rand) {
	for round := range configRounds {
		pick := operator + round
		revision, ok := w.read(operator, choose(addresses(), pick))
		if !ok {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		in := docInput{id: fmt.Sprintf("c%d-%d-%d", seed, operator, round), ifRevision: revision}
		for try := range 3 {
			out := w.change(operator, choose(addresses(), pick+try), in)
			if !out.unknown && rnd.Intn(3) > 0 {
				break
			}
		}
		time.Sleep(time.Duration(rnd.Intn(400)) * time.Millisecond)
	}
}

func choose(addresses []string, i int) string { return addresses[i%len(addresses)] }

func contestedURL(address string) string {
	return "http://" + address + "/v1/config/workspaces/" + contestedWorkspace
}

// read returns the revision in the store.
func (w *configWatch) read(operator int, address string) (uint64, bool) {
	from := time.Now()
	resp, err := client.Get(contestedURL(address))
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		w.record(operator, docInput{read: true}, docOutput{}, from)
		return 0, true
	}
	var d gateway.WorkspaceDocument
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&d) != nil || d.Cached {
		return 0, false
	}
	_, last, _ := strings.Cut(d.Source, changeMark)
	w.record(operator, docInput{read: true}, docOutput{revision: d.Revision, last: strings.TrimSpace(last)}, from)
	return d.Revision, true
}

// change sends a change once.
func (w *configWatch) change(operator int, address string, in docInput) docOutput {
	source := fmt.Sprintf("workspace = %q\n%s%s\n", contestedWorkspace, changeMark, in.id)
	req, _ := http.NewRequest(http.MethodPut, contestedURL(address), bytes.NewBufferString(source))
	req.Header.Set("Content-Type", "application/toml")
	req.Header.Set(gateway.HeaderAuthor, fmt.Sprintf("operator-%d", operator))
	req.Header.Set(gateway.HeaderIdempotencyKey, in.id)
	req.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(in.ifRevision)))
	from := time.Now()
	out, written := sendChange(w.t, req)
	if written {
		w.record(operator, in, out, from)
	}
	return out
}

// sendChange returns the result, and false if certainly nothing was written.
func sendChange(t *testing.T, req *http.Request) (docOutput, bool) {
	resp, err := client.Do(req)
	if err != nil {
		return docOutput{unknown: true}, true
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return docOutput{unknown: true}, true
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var a gateway.AppliedChange
		if err := json.Unmarshal(body, &a); err != nil {
			t.Errorf("answer to a change: %v", err)
		}
		return docOutput{revision: a.Revision}, true
	case http.StatusPreconditionFailed:
		var p gateway.Problem
		if err := json.Unmarshal(body, &p); err != nil || p.Conflict == nil {
			t.Errorf("conflict without details: %s", body)
			return docOutput{unknown: true}, true
		}
		return docOutput{conflict: true, revision: p.Conflict.InForce, unknown: p.Conflict.Unsettled}, true
	case http.StatusGatewayTimeout:
		return docOutput{unknown: true}, true
	case http.StatusServiceUnavailable:
		return docOutput{unknown: true}, false
	default:
		t.Errorf("change: %s %s", resp.Status, body)
		return docOutput{unknown: true}, true
	}
}

// race lets the operators work through the addresses.
func (w *configWatch) race(seed int64, addresses func() []string) {
	w.t.Logf("seed %d", seed)
	var wg sync.WaitGroup
	for i := range configOperators {
		rnd := rand.New(rand.NewSource(seed + int64(i)))
		wg.Go(func() { w.operate(i, seed, addresses, rnd) })
	}
	wg.Wait()
}

// Guards against a change that is applied twice, lost, overwritten or reverted
// at some process when operators race through different processes and the store
// loses its replies.
func TestRacingOperatorsWithLostReplies(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3})
	w := newConfigWatch(t)
	stop := make(chan struct{})
	var observers sync.WaitGroup
	for _, e := range c.entries {
		observers.Go(func() { w.observe(e, stop) })
	}
	c.setPlatformFaults(platformstandin.Faults{LostReplies: 0.3})
	w.race(11, c.live)
	c.setPlatformFaults(platformstandin.Faults{})
	time.Sleep(configAim)
	close(stop)
	observers.Wait()
	for _, e := range c.entries {
		w.checkInForce(e, w.began)
	}
	w.checkHistory()
}

// Guards against a process that keeps or returns to an old revision while
// watches deliver nothing: one that was frozen past its lease, and one that
// starts meanwhile.
func TestRacingOperatorsWithStalledWatches(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3})
	w := newConfigWatch(t)
	stop := make(chan struct{})
	var observers sync.WaitGroup
	for _, e := range c.entries {
		observers.Go(func() { w.observe(e, stop) })
	}
	c.setPlatformFaults(platformstandin.Faults{StallWatches: true})
	frozen := c.entries[2]
	frozen.freeze()
	added := c.startEntry(3)
	c.mu.Lock()
	c.entries = append(c.entries, added)
	c.mu.Unlock()
	observers.Go(func() { w.observe(added, stop) })
	w.race(12, func() []string { return []string{c.entries[0].http, c.entries[1].http} })
	time.Sleep(4 * time.Second)
	frozen.thaw()
	thawed := time.Now()
	time.Sleep(configAim)
	w.race(13, func() []string { return []string{c.entries[0].http, c.entries[1].http} })
	time.Sleep(configAim)
	c.setPlatformFaults(platformstandin.Faults{})
	close(stop)
	observers.Wait()
	for _, e := range c.entries[:2] {
		w.checkInForce(e, w.began)
	}
	w.checkInForce(frozen, thawed)
	w.checkInForce(added, w.began)
	w.checkHistory()
}
