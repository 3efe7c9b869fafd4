package control

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// memoryStore is a Store in memory with the faults that matter to its callers.
type memoryStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]Item
	history []Item
	leases  int64
	changed chan struct{}
	refuse  bool
	lose    int // commits that are done while their answer is lost
	commits int
	oldest  int64 // changes up to this revision are no longer known
	reads   map[string]int
	perItem time.Duration // that a range takes for each item
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rev: 1, items: map[string]Item{}, changed: make(chan struct{})}
}

func (m *memoryStore) setRefuse(refuse bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuse = refuse
}

func (m *memoryStore) loseNext(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose = n
}

// compact drops the history.
func (m *memoryStore) compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.oldest = nil, m.rev
	close(m.changed) // watches that wait are cut
	m.changed = make(chan struct{})
}

func (m *memoryStore) count(key string) {
	if m.reads == nil {
		m.reads = map[string]int{}
	}
	m.reads[key]++
}

// readsOf returns how often a key or prefix was read.
func (m *memoryStore) readsOf(prefix string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads[prefix]
}

func (m *memoryStore) refused() error {
	if m.refuse {
		return ErrNotApplied
	}
	return nil
}

func (m *memoryStore) Get(_ context.Context, key string) (Item, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count(key)
	item, ok := m.items[key]
	return item, ok, m.refused()
}

func (m *memoryStore) Range(_ context.Context, prefix string) ([]Item, int64, error) {
	m.mu.Lock()
	m.count(prefix)
	var out []Item
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	rev, err, pause := m.rev, m.refused(), m.perItem*time.Duration(len(out))
	m.mu.Unlock()
	time.Sleep(pause)
	return out, rev, err
}

func (m *memoryStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	deadline := time.After(wait)
	for {
		m.mu.Lock()
		var out []Item
		for _, item := range m.history {
			if item.Rev > after && strings.HasPrefix(item.Key, prefix) {
				out = append(out, item)
			}
		}
		rev, changed, err := m.rev, m.changed, m.refused()
		if after < m.oldest {
			err = ErrCompacted
		}
		m.mu.Unlock()
		if err != nil || len(out) > 0 {
			return out, rev, err
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (m *memoryStore) Commit(_ context.Context, c Commit) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.refused(); err != nil {
		return 0, err
	}
	conflict := &Conflict{}
	held := true
	for key, rev := range c.Expected {
		item := m.items[key]
		item.Key = key
		conflict.Current = append(conflict.Current, item)
		held = held && item.Rev == rev
	}
	if !held {
		return 0, conflict
	}
	m.rev++
	m.commits++
	for _, p := range c.Puts {
		m.items[p.Key] = Item{Key: p.Key, Value: p.Value, Rev: m.rev}
		m.history = append(m.history, m.items[p.Key])
	}
	for _, key := range c.Deletes {
		delete(m.items, key)
		m.history = append(m.history, Item{Key: key, Rev: m.rev, Deleted: true})
	}
	close(m.changed)
	m.changed = make(chan struct{})
	if m.lose > 0 {
		m.lose--
		return 0, errors.New("the answer was lost")
	}
	return m.rev, nil
}

func (m *memoryStore) GrantLease(context.Context, time.Duration) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leases++
	return m.leases, m.refused()
}

func (m *memoryStore) KeepLease(context.Context, int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused()
}

// lossyStore is one process's way to a store; it can be cut.
type lossyStore struct {
	*memoryStore
	mu  sync.Mutex
	cut bool
}

func (l *lossyStore) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *lossyStore) away() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return errors.New("no path to the store")
	}
	return nil
}

func (l *lossyStore) Get(ctx context.Context, key string) (Item, bool, error) {
	if err := l.away(); err != nil {
		return Item{}, false, err
	}
	return l.memoryStore.Get(ctx, key)
}

func (l *lossyStore) Range(ctx context.Context, prefix string) ([]Item, int64, error) {
	if err := l.away(); err != nil {
		return nil, 0, err
	}
	return l.memoryStore.Range(ctx, prefix)
}

func (l *lossyStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	if err := l.away(); err != nil {
		return nil, 0, err
	}
	return l.memoryStore.Watch(ctx, prefix, after, min(wait, 100*time.Millisecond))
}

func (l *lossyStore) Commit(ctx context.Context, c Commit) (int64, error) {
	if err := l.away(); err != nil {
		return 0, err
	}
	return l.memoryStore.Commit(ctx, c)
}

func (l *lossyStore) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := l.away(); err != nil {
		return 0, err
	}
	return l.memoryStore.GrantLease(ctx, ttl)
}

func (l *lossyStore) KeepLease(ctx context.Context, id int64) error {
	if err := l.away(); err != nil {
		return err
	}
	return l.memoryStore.KeepLease(ctx, id)
}

// instantRunners starts nothing and lists nothing.
type instantRunners struct{}

func (instantRunners) Start(context.Context, scheduler.RunnerRef, StartRequest) (scheduler.StartOutcome, error) {
	return scheduler.StartRefused, nil
}

func (instantRunners) Stop(context.Context, scheduler.RunnerRef, job.TaskID, int, int64) error {
	return nil
}

func (instantRunners) Poll(context.Context, scheduler.RunnerRef, PollRequest) (scheduler.Report, error) {
	return scheduler.Report{}, errors.New("no runners here")
}

type noAdvice struct{}

func (noAdvice) Advise(context.Context, job.StepID, []string) ([]scheduler.EligibleRunner, time.Duration, error) {
	return nil, 0, errors.New("no advice here")
}

// emptyDirectory has no runners; a configuration is its version as one byte.
type emptyDirectory struct{}

func (emptyDirectory) RunnerPrefix() string { return "servers/" }
func (emptyDirectory) DecodeRunner(Item) (scheduler.RunnerInfo, error) {
	return scheduler.RunnerInfo{}, errors.New("no runners here")
}
func (emptyDirectory) RunnerID(key string) string { return strings.TrimPrefix(key, "servers/") }
func (emptyDirectory) ConfigKey() string          { return "op/config" }
func (emptyDirectory) DecodeConfig(value []byte) (*CellConfig, error) {
	queue := scheduler.Queue{Name: "q", Service: "s", Attempts: 3, Stretch: 2, Objective: time.Second}
	return &CellConfig{Version: int64(value[0]), Raw: value, Routes: []Route{{Host: "h", Prefix: "/", Queue: queue}}}, nil
}

type discardLog struct{}

func (discardLog) Log(string, logrus.Fields) {}

// testStatusKept is how long the cells of these tests keep final states.
var testStatusKept = time.Minute

// testWeight is the size of the machines of most cells.
const testWeight = 400

// testNode is a process in this test's process.
type testNode struct {
	*Node
	store  *lossyStore
	cancel context.CancelFunc
	ended  chan struct{}
}

// testDeps are those of a process whose cell has neither runners nor advice.
func testDeps() Deps {
	return Deps{
		Runners: instantRunners{}, Advisor: noAdvice{}, Directory: emptyDirectory{}, Log: discardLog{},
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}
}

// newTestNode returns a process that has not been started.
func newTestNode(store *memoryStore, address string, weight int, seeds ...string) *testNode {
	return newTestNodeWith(testDeps(), store, address, weight, seeds...)
}

func newTestNodeWith(deps Deps, store *memoryStore, address string, weight int, seeds ...string) *testNode {
	tn := &testNode{store: &lossyStore{memoryStore: store}, ended: make(chan struct{})}
	deps.Store = tn.store
	tn.Node = New(Options{
		Name: address, Address: address, Weight: weight, Seeds: seeds,
		Scheduler: scheduler.Config{RunLease: 4 * time.Second, OwnerLease: OwnerLease, StatusRetention: testStatusKept},
	}, deps)
	return tn
}

func startNode(t *testing.T, store *memoryStore, weight int, seeds ...string) *testNode {
	t.Helper()
	return startNodeWith(t, testDeps(), store, weight, seeds...)
}

func startNodeWith(t *testing.T, deps Deps, store *memoryStore, weight int, seeds ...string) *testNode {
	t.Helper()
	l := httptest.NewUnstartedServer(nil).Listener // a free port that is held from here on
	tn := newTestNodeWith(deps, store, l.Addr().String(), weight, seeds...)
	ctx, cancel := context.WithCancel(context.Background())
	tn.cancel = cancel
	go func() {
		defer close(tn.ended)
		_ = tn.Run(ctx, &killableListener{Listener: l, ctx: ctx})
	}()
	t.Cleanup(tn.kill)
	return tn
}

// kill ends the process's part in the cell at once.
func (tn *testNode) kill() {
	tn.cancel()
	if o := tn.owned.Load(); o != nil {
		o.stepDown("killed")
		<-o.ended
	}
	<-tn.ended
}

// killableListener closes the connections that it has accepted when its process is killed.
type killableListener struct {
	net.Listener
	ctx context.Context
}

func (k *killableListener) Accept() (net.Conn, error) {
	conn, err := k.Listener.Accept()
	if err != nil {
		return nil, err
	}
	context.AfterFunc(k.ctx, func() { _ = conn.Close() })
	return conn, nil
}
