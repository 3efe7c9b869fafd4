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
	configLimit  = 7 * time.Second // limit from acceptance until in force at every live member
	configTarget = 2 * time.Second
	// contestedWorkspace is the document that operators change concurrently. It does
	// not exist when the cell starts.
	contestedWorkspace = "sabra"
	// configRounds times configOperators, the number of changes in one call of
	// runOperators, stays below the 32 changes that a document lists. A change is
	// submitted again only within the call, so it is still listed if it was applied.
	configRounds    = 5
	configOperators = 4
	changeMarker    = "# change "
)

// docInput and docOutput describe one operation on the contested document.
type docInput struct {
	read       bool
	id         string
	ifRevision uint64
}

type docOutput struct {
	revision uint64 // revision that was written or read; after a conflict, the revision in force
	last     string // identifier of the change that wrote the revision that was read
	conflict bool
	unknown  bool
}

// docModel models the contested document as the list of the identifiers of its
// changes.
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

// configObserver records the results that operators received and the revisions
// that were in force at each process.
type configObserver struct {
	t     *testing.T
	start time.Time

	mu       sync.Mutex
	ops      []porcupine.Operation
	accepted map[uint64]time.Time // time of the first successful response, by revision
	// inForceSince lists when each revision was first seen in force at a process, in
	// ascending order.
	inForceSince map[*entryProcess][]revisionAt
	seen         map[string]uint64 // highest revision by reporting process and member
}

type revisionAt struct {
	revision uint64
	at       time.Time
}

func newConfigObserver(t *testing.T) *configObserver {
	return &configObserver{
		t: t, start: time.Now(), accepted: make(map[uint64]time.Time),
		inForceSince: make(map[*entryProcess][]revisionAt), seen: make(map[string]uint64),
	}
}

func (o *configObserver) record(operator int, in docInput, out docOutput, from time.Time) {
	now := time.Now()
	end := now.Sub(o.start).Nanoseconds()
	if out.unknown {
		end = 1 << 62 // the change may take effect at any later time
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ops = append(o.ops, porcupine.Operation{
		ClientId: operator, Input: in, Output: out,
		Call: from.Sub(o.start).Nanoseconds(), Return: end,
	})
	if !in.read && !out.unknown && !out.conflict {
		if _, ok := o.accepted[out.revision]; !ok {
			o.accepted[out.revision] = now
		}
	}
}

// checkMonotonic verifies that an observed revision never decreases.
func (o *configObserver) checkMonotonic(key string, revision uint64) {
	if revision < o.seen[key] {
		o.t.Errorf("%s: revision %d after %d", key, revision, o.seen[key])
	}
	o.seen[key] = max(o.seen[key], revision)
}

// observe polls one process until stop is closed. The time at which a revision is
// in force at the process comes from the list of workspaces, since /v1/status waits
// for all members.
func (o *configObserver) observe(e *entryProcess, stop <-chan struct{}) {
	var wg sync.WaitGroup
	poll := func(observeOnce func()) {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
					observeOnce()
				}
			}
		})
	}
	poll(func() { o.observeStatus(e) })
	poll(func() { o.observeWorkspaces(e) })
	wg.Wait()
}

func (o *configObserver) observeStatus(e *entryProcess) {
	var s gateway.CellStatus
	if getJSON("http://"+e.http+"/v1/status", &s) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range s.Members {
		if m.Reachable {
			o.checkMonotonic(e.name+" about "+m.Incarnation, m.Revisions[configstore.WorkspaceName(contestedWorkspace)])
		}
	}
}

func (o *configObserver) observeWorkspaces(e *entryProcess) {
	var list gateway.WorkspaceList
	if getJSON("http://"+e.http+"/v1/config/workspaces", &list) != nil {
		return
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var revision uint64
	for _, ws := range list.Workspaces {
		if ws.Workspace == contestedWorkspace {
			revision = ws.Revision
		}
	}
	o.checkMonotonic(e.name, revision)
	if at := o.inForceSince[e]; len(at) == 0 || at[len(at)-1].revision < revision {
		o.inForceSince[e] = append(at, revisionAt{revision, now})
	}
}

// checkInForce verifies how long each accepted revision took to be in force at a
// process. Time before the given time does not count: the process was paused until
// then, or the test had not started.
func (o *configObserver) checkInForce(e *entryProcess, since time.Time) {
	o.t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var longest time.Duration
	for revision, at := range o.accepted {
		i := slices.IndexFunc(o.inForceSince[e], func(r revisionAt) bool { return r.revision >= revision })
		if i < 0 {
			o.t.Errorf("%s: accepted revision %d was never in force", e.name, revision)
			continue
		}
		if at.Before(since) {
			at = since
		}
		lag := o.inForceSince[e][i].at.Sub(at)
		longest = max(longest, lag)
		if lag > configLimit {
			o.t.Errorf("%s: revision %d in force only after %v", e.name, revision, lag)
		}
	}
	o.t.Logf("%s: %d revisions, in force after at most %v (target %v)", e.name, len(o.accepted), longest.Round(time.Millisecond), configTarget)
}

func (o *configObserver) checkHistory() {
	o.t.Helper()
	totals := make(map[string]int)
	for _, op := range o.ops {
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
	o.t.Logf("operations %v, revisions %d", totals, len(o.accepted))
	if totals["applied"] == 0 || totals["conflict"] == 0 {
		o.t.Errorf("no concurrent changes by the operators: %v", totals)
	}
	if got := porcupine.CheckOperationsTimeout(docModel, o.ops, 10*time.Second); got != porcupine.Ok {
		for _, op := range o.ops {
			o.t.Logf("%d %d-%d %+v %+v", op.ClientId, op.Call, op.Return, op.Input, op.Output)
		}
		o.t.Errorf("linearizability of the document history: %s", got)
	}
}

// runOperator reads and changes the document repeatedly, as one operator does. A
// change with an unknown outcome, and at random some others, is submitted again
// through another process.
func (o *configObserver) runOperator(operator int, seed int64, addresses func() []string, rnd *rand.Rand) {
	for round := range configRounds {
		pick := operator + round
		revision, ok := o.read(operator, pickAddress(addresses(), pick))
		if !ok {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		in := docInput{id: fmt.Sprintf("c%d-%d-%d", seed, operator, round), ifRevision: revision}
		for try := range 3 {
			out := o.change(operator, pickAddress(addresses(), pick+try), in)
			if !out.unknown && rnd.Intn(3) > 0 {
				break
			}
		}
		time.Sleep(time.Duration(rnd.Intn(400)) * time.Millisecond)
	}
}

func pickAddress(addresses []string, i int) string { return addresses[i%len(addresses)] }

func contestedURL(address string) string {
	return "http://" + address + "/v1/config/workspaces/" + contestedWorkspace
}

// read returns the revision in the store, and false if it could not be read.
func (o *configObserver) read(operator int, address string) (uint64, bool) {
	from := time.Now()
	resp, err := client.Get(contestedURL(address))
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		o.record(operator, docInput{read: true}, docOutput{}, from)
		return 0, true
	}
	var d gateway.WorkspaceDocument
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&d) != nil || d.Cached {
		return 0, false
	}
	_, last, _ := strings.Cut(d.Source, changeMarker)
	o.record(operator, docInput{read: true}, docOutput{revision: d.Revision, last: strings.TrimSpace(last)}, from)
	return d.Revision, true
}

// change submits a change once.
func (o *configObserver) change(operator int, address string, in docInput) docOutput {
	source := fmt.Sprintf("workspace = %q\n%s%s\n", contestedWorkspace, changeMarker, in.id)
	req, _ := http.NewRequest(http.MethodPut, contestedURL(address), bytes.NewBufferString(source))
	req.Header.Set("Content-Type", "application/toml")
	req.Header.Set(gateway.HeaderAuthor, fmt.Sprintf("operator-%d", operator))
	req.Header.Set(gateway.HeaderIdempotencyKey, in.id)
	req.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(in.ifRevision)))
	from := time.Now()
	out, recordable := sendChange(o.t, req)
	if recordable {
		o.record(operator, in, out, from)
	}
	return out
}

// sendChange sends the request and returns its result. It returns false for a 503
// response: nothing was written, so the change is not recorded as an operation.
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
			t.Errorf("decode reply to a change: %v", err)
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

// runOperators runs the operators concurrently on the entry processes at the
// addresses, and waits for them.
func (o *configObserver) runOperators(seed int64, addresses func() []string) {
	o.t.Logf("seed %d", seed)
	var wg sync.WaitGroup
	for i := range configOperators {
		rnd := rand.New(rand.NewSource(seed + int64(i)))
		wg.Go(func() { o.runOperator(i, seed, addresses, rnd) })
	}
	wg.Wait()
}

// Guards against a change that is applied twice, lost, overwritten or reverted at
// some process. Operators change the document concurrently through different
// processes, and replies of the store are lost.
func TestConcurrentOperatorsWithLostReplies(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3})
	o := newConfigObserver(t)
	stop := make(chan struct{})
	var observers sync.WaitGroup
	for _, e := range c.entries {
		observers.Go(func() { o.observe(e, stop) })
	}
	c.setPlatformFaults(platformstandin.Faults{LostReplies: 0.3})
	o.runOperators(11, c.live)
	c.setPlatformFaults(platformstandin.Faults{})
	time.Sleep(configTarget)
	close(stop)
	observers.Wait()
	for _, e := range c.entries {
		o.checkInForce(e, o.start)
	}
	o.checkHistory()
}

// Guards against a process that keeps or returns to an old revision while watches
// deliver nothing: a process that was paused until its lease expired, and one that
// starts in the meantime.
func TestConcurrentOperatorsWithStalledWatches(t *testing.T) {
	c := newCell(t, cellOptions{entries: 3, zones: 3})
	o := newConfigObserver(t)
	stop := make(chan struct{})
	var observers sync.WaitGroup
	for _, e := range c.entries {
		observers.Go(func() { o.observe(e, stop) })
	}
	c.setPlatformFaults(platformstandin.Faults{StallWatches: true})
	paused := c.entries[2]
	paused.pause()
	added := c.startEntry(3)
	c.mu.Lock()
	c.entries = append(c.entries, added)
	c.mu.Unlock()
	observers.Go(func() { o.observe(added, stop) })
	o.runOperators(12, func() []string { return []string{c.entries[0].http, c.entries[1].http} })
	time.Sleep(4 * time.Second)
	paused.resume()
	resumedAt := time.Now()
	time.Sleep(configTarget)
	o.runOperators(13, func() []string { return []string{c.entries[0].http, c.entries[1].http} })
	time.Sleep(configTarget)
	c.setPlatformFaults(platformstandin.Faults{})
	close(stop)
	observers.Wait()
	for _, e := range c.entries[:2] {
		o.checkInForce(e, o.start)
	}
	o.checkInForce(paused, resumedAt)
	o.checkInForce(added, o.start)
	o.checkHistory()
}
