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

const owner = "owner-1"

// reporter is what tests and rapid share.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// world is one writer on a stand-in store, with an oracle of what it has reported.
type world struct {
	server *standin.Server
	store  platform.Store // of the writer
	w      *Writer
	cancel context.CancelFunc
	ended  chan error

	mu      sync.Mutex
	next    int
	acked   []string // in the order of the acknowledgements
	results map[string]error
	open    int
}

// newWorld starts a writer; wrap may replace the store it uses.
func newWorld(members int, wrap func(platform.Store) platform.Store) *world {
	x := &world{server: standin.New(standin.Config{}), results: map[string]error{}, ended: make(chan error, 1)}
	x.store = x.server
	if wrap != nil {
		x.store = wrap(x.server)
	}
	x.start(owner, members)
	return x
}

// start runs a writer for the incarnation.
func (x *world) start(incarnation string, members int) {
	x.w = NewWriter(Config{Store: x.store, Incarnation: incarnation, Members: members})
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	go func() { x.ended <- x.w.Run(ctx) }()
}

// close stops everything that could hold a bubble of synctest open.
func (x *world) close() {
	x.cancel()
	<-x.ended
	x.server.Close()
}

// append adds a record with a deadline, none for 0, and returns its name.
func (x *world) append(limit time.Duration) string {
	x.mu.Lock()
	x.next++
	x.open++
	name := fmt.Sprintf("record-%d", x.next)
	x.mu.Unlock()
	var deadline time.Time
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	x.w.Append([]byte(name), deadline, func(err error) { x.report(name, err) })
	return name
}

func (x *world) report(name string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, twice := x.results[name]; twice {
		panic("done was called twice for " + name)
	}
	x.results[name] = err
	x.open--
	if err == nil {
		x.acked = append(x.acked, name)
	}
}

func (x *world) result(name string) (error, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	err, known := x.results[name]
	return err, known
}

func (x *world) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.acked)
}

// collect returns the state: every acknowledged record.
func (x *world) collect() ([][]byte, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out [][]byte
	for _, name := range x.acked {
		out = append(out, []byte(name))
	}
	return out, nil
}

// collectPadded returns the state with records so large that a snapshot has several parts.
func (x *world) collectPadded() ([][]byte, error) {
	records, err := x.collect()
	for i, r := range records {
		records[i] = append(r, make([]byte, 300<<10)...)
	}
	return records, err
}

func (x *world) replay(t reporter) []string {
	t.Helper()
	var got []string
	err := Replay(context.Background(), x.server, owner, func(r []byte) error {
		name, _, _ := bytes.Cut(r, []byte{0})
		got = append(got, string(name))
		return nil
	})
	if err != nil {
		t.Fatalf("replay: %v", err)
	}
	return got
}

// check compares a replay with what the writer has reported.
func (x *world) check(t reporter, replayed []string) {
	t.Helper()
	x.mu.Lock()
	defer x.mu.Unlock()
	seen := map[string]bool{}
	var order []string
	for _, name := range replayed {
		if seen[name] {
			t.Fatalf("%s is replayed twice: %v", name, replayed)
		}
		seen[name] = true
		err, known := x.results[name]
		if errors.Is(err, ErrNotWritten) || errors.Is(err, ErrSealed) {
			t.Fatalf("%s is replayed but was reported as %v", name, err)
		}
		if known && err == nil {
			order = append(order, name)
		}
	}
	if fmt.Sprint(order) != fmt.Sprint(x.acked) {
		t.Fatalf("acknowledged %v, replayed of these %v", x.acked, order)
	}
}

// appendInVain appends to a sealed journal.
func (x *world) appendInVain(t reporter) {
	t.Helper()
	name := x.append(0)
	time.Sleep(5 * time.Second)
	if err, known := x.result(name); !known || err == nil {
		t.Fatalf("append after the seal: reported %v, error %v", known, err)
	}
}

// sealTwice has two successors race to seal.
func (x *world) sealTwice(t reporter) {
	t.Helper()
	errs := make(chan error, 2)
	for _, by := range []string{"successor-a", "successor-b"} {
		go func() { errs <- Seal(context.Background(), x.server, owner, by) }()
	}
	for range 2 {
		if err := <-errs; err != nil {
			t.Fatalf("seal: %v", err)
		}
	}
}
