package journal

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

const testOwner = "owner-1"

// testReporter has the methods of testing.T and rapid.T that the checks need.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// harness is one writer on a stand-in store, with a record of the results that it has reported.
type harness struct {
	server    *standin.Server
	store     platform.Store // store that the writer uses
	w         *Writer
	cancel    context.CancelFunc
	runResult chan error

	mu         sync.Mutex
	next       int
	acked      []string // names of acknowledged records, in the order of the acknowledgements
	results    map[string]error
	unreported int
}

// newHarness starts a writer; wrap, if not nil, wraps the store that the writer uses.
func newHarness(members int, wrap func(platform.Store) platform.Store) *harness {
	h := &harness{server: standin.New(standin.Config{}), results: map[string]error{}, runResult: make(chan error, 1)}
	h.store = h.server
	if wrap != nil {
		h.store = wrap(h.server)
	}
	h.start(testOwner, members)
	return h
}

// start starts a writer for the incarnation.
func (h *harness) start(incarnation string, members int) {
	h.w = NewWriter(Config{Store: h.store, Incarnation: incarnation, Members: members})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.runResult <- h.w.Run(ctx) }()
}

// close stops all goroutines, since a synctest bubble ends only when they have exited.
func (h *harness) close() {
	h.cancel()
	<-h.runResult
	h.server.Close()
}

// append appends a record with a deadline, or without one if limit is 0, and returns its name.
func (h *harness) append(limit time.Duration) string {
	h.mu.Lock()
	h.next++
	h.unreported++
	name := fmt.Sprintf("record-%d", h.next)
	h.mu.Unlock()
	var deadline time.Time
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	h.w.Append([]byte(name), deadline, func(err error) { h.recordResult(name, err) })
	return name
}

func (h *harness) recordResult(name string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, twice := h.results[name]; twice {
		panic("done was called twice for " + name)
	}
	h.results[name] = err
	h.unreported--
	if err == nil {
		h.acked = append(h.acked, name)
	}
}

func (h *harness) result(name string) (error, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	err, known := h.results[name]
	return err, known
}

func (h *harness) ackedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.acked)
}

// collect returns the state, which consists of all acknowledged records.
func (h *harness) collect() ([][]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out [][]byte
	for _, name := range h.acked {
		out = append(out, []byte(name))
	}
	return out, nil
}

// collectPadded returns the state with records padded so that a snapshot has several parts.
func (h *harness) collectPadded() ([][]byte, error) {
	records, err := h.collect()
	for i, r := range records {
		records[i] = append(r, make([]byte, 300<<10)...)
	}
	return records, err
}

func (h *harness) replay(t testReporter) []string {
	t.Helper()
	var got []string
	err := Replay(context.Background(), h.server, testOwner, func(r []byte) error {
		name, _, _ := bytes.Cut(r, []byte{0})
		got = append(got, string(name))
		return nil
	})
	if err != nil {
		t.Fatalf("replay: %v", err)
	}
	return got
}

// checkReplay compares a replay with the results that the writer has reported.
func (h *harness) checkReplay(t testReporter, replayed []string) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	var order []string
	for _, name := range replayed {
		if seen[name] {
			t.Fatalf("%s is replayed twice: %v", name, replayed)
		}
		seen[name] = true
		err, known := h.results[name]
		if errors.Is(err, ErrNotWritten) || errors.Is(err, ErrSealed) {
			t.Fatalf("%s is replayed but was reported as %v", name, err)
		}
		if known && err == nil {
			order = append(order, name)
		}
	}
	if fmt.Sprint(order) != fmt.Sprint(h.acked) {
		t.Fatalf("acknowledged %v, replayed of these %v", h.acked, order)
	}
}

// checkAppendFails checks that an append to a sealed journal fails.
func (h *harness) checkAppendFails(t testReporter) {
	t.Helper()
	name := h.append(0)
	time.Sleep(5 * time.Second)
	if err, known := h.result(name); !known || err == nil {
		t.Fatalf("append after the seal: reported %v, error %v", known, err)
	}
}

// sealConcurrently has two successors seal the journal at the same time.
func (h *harness) sealConcurrently(t testReporter) {
	t.Helper()
	errs := make(chan error, 2)
	for _, by := range []string{"successor-a", "successor-b"} {
		go func() { errs <- Seal(context.Background(), h.server, testOwner, by) }()
	}
	for range 2 {
		if err := <-errs; err != nil {
			t.Fatalf("seal: %v", err)
		}
	}
}
