package control

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// memoryStore is an in-memory Store with fault injection.
type memoryStore struct {
	mu            sync.Mutex
	rev           int64
	items         map[string]Item
	history       []Item
	leases        int64
	changed       chan struct{}
	refuse        bool
	silent        bool // commits of records of jobs get no answer and aren't applied
	loseResponses int  // number of next commits that are applied but whose response is lost
	commits       int
	compactedRev  int64 // changes up to this revision have been compacted
	reads         map[string]int
	lists         map[string]int // range reads alone
	delayPerItem  time.Duration  // duration of a range read for each item
	ranges        int            // range reads in flight
	maxRanges     int            // largest number of range reads of jobs in flight at the same time
	maxChanges    int            // largest number of changes in an answer to a watch; 0: no limit
}

// hasLoaded reports whether the owner has loaded the durable state.
func (o *ownership) hasLoaded() bool {
	pending, _ := o.pendingJobs()
	return pending != nil
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rev: 1, items: map[string]Item{}, changed: make(chan struct{})}
}

func (m *memoryStore) setRefuse(refuse bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refuse = refuse
}

func (m *memoryStore) setSilent(silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent = silent
}

// countItems returns the number of items under a prefix.
func (m *memoryStore) countItems(prefix string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for key := range m.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (m *memoryStore) loseNextResponses(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loseResponses = n
}

// compact drops the history of changes.
func (m *memoryStore) compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history, m.compactedRev = nil, m.rev
	close(m.changed) // wakes the waiting watches, which fail
	m.changed = make(chan struct{})
}

func (m *memoryStore) countRead(key string) {
	if m.reads == nil {
		m.reads = map[string]int{}
	}
	m.reads[key]++
}

// readCount returns how often a key was read or a prefix was listed.
func (m *memoryStore) readCount(prefix string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads[prefix]
}

// listCount returns how often a prefix was listed.
func (m *memoryStore) listCount(prefix string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lists[prefix]
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
	m.countRead(key)
	item, ok := m.items[key]
	item.ReadRev = m.rev
	return item, ok, m.refused()
}

// all returns all items under a prefix, in no order, without the limits of a page.
func (m *memoryStore) all(prefix string) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Item
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, item)
		}
	}
	return out
}

// pageItems is the largest number of items in a page of a range.
const pageItems = 500

func (m *memoryStore) Range(_ context.Context, prefix, after string) (Page, error) {
	m.mu.Lock()
	m.countRead(prefix)
	if m.lists == nil {
		m.lists = map[string]int{}
	}
	m.lists[prefix]++
	var out []Item
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	next := ""
	if len(out) > pageItems {
		out = out[:pageItems]
		next = out[pageItems-1].Key
	}
	rev, err, pause := m.rev, m.refused(), m.delayPerItem*time.Duration(len(out))
	if strings.HasPrefix(prefix, jobPrefix) {
		m.ranges++
		m.maxRanges = max(m.maxRanges, m.ranges)
		defer func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.ranges--
		}()
	}
	m.mu.Unlock()
	if pause > 0 {
		time.Sleep(pause)
	}
	if err != nil {
		return Page{}, err
	}
	return Page{Items: out, Rev: rev, Next: next}, nil
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
		if m.maxChanges > 0 && len(out) > m.maxChanges {
			out = out[:m.maxChanges]
			rev = out[len(out)-1].Rev
		}
		if after < m.compactedRev {
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

func (m *memoryStore) Commit(ctx context.Context, c Commit) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.silent && slices.ContainsFunc(c.Puts, func(p Put) bool { return strings.HasPrefix(p.Key, jobPrefix) }) {
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		return 0, ctx.Err()
	}
	if err := m.refused(); err != nil {
		return 0, err
	}
	conflict := &Conflict{}
	matches := true
	for key, rev := range c.Expected {
		item := m.items[key]
		item.Key = key
		conflict.Current = append(conflict.Current, item)
		matches = matches && item.Rev == rev
	}
	if !matches {
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
	if m.loseResponses > 0 {
		m.loseResponses--
		return 0, errors.New("the response was lost")
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

// partitionableStore is one process's connection to a store. While it is partitioned, each new call fails.
type partitionableStore struct {
	*memoryStore
	mu          sync.Mutex
	partitioned bool
	stalled     bool // watches return no changes
}

// stallWatches makes each new watch end without the changes that there are.
func (l *partitionableStore) stallWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = true
}

func (l *partitionableStore) isStalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stalled
}

func (l *partitionableStore) setPartitioned(partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = partitioned
}

func (l *partitionableStore) pathError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitioned {
		return errors.New("the store is unreachable")
	}
	return nil
}

func (l *partitionableStore) Get(ctx context.Context, key string) (Item, bool, error) {
	if err := l.pathError(); err != nil {
		return Item{}, false, err
	}
	return l.memoryStore.Get(ctx, key)
}

func (l *partitionableStore) Range(ctx context.Context, prefix, after string) (Page, error) {
	if err := l.pathError(); err != nil {
		return Page{}, err
	}
	return l.memoryStore.Range(ctx, prefix, after)
}

func (l *partitionableStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error) {
	if err := l.pathError(); err != nil {
		return nil, 0, err
	}
	if l.isStalled() {
		time.Sleep(min(wait, 100*time.Millisecond))
		return nil, after, nil
	}
	// A partition takes effect only when a watch starts, so each watch is short.
	return l.memoryStore.Watch(ctx, prefix, after, min(wait, 100*time.Millisecond))
}

func (l *partitionableStore) Commit(ctx context.Context, c Commit) (int64, error) {
	if err := l.pathError(); err != nil {
		return 0, err
	}
	return l.memoryStore.Commit(ctx, c)
}

func (l *partitionableStore) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := l.pathError(); err != nil {
		return 0, err
	}
	return l.memoryStore.GrantLease(ctx, ttl)
}

func (l *partitionableStore) KeepLease(ctx context.Context, id int64) error {
	if err := l.pathError(); err != nil {
		return err
	}
	return l.memoryStore.KeepLease(ctx, id)
}

// noRunners refuses each start and fails each poll.
type noRunners struct{}

func (noRunners) Start(context.Context, scheduler.RunnerRef, StartRequest) (scheduler.StartOutcome, error) {
	return scheduler.StartRefused, nil
}

func (noRunners) Stop(context.Context, scheduler.RunnerRef, StopRequest) error { return nil }

func (noRunners) LeaseEnd(scheduler.RunnerRef, time.Duration) int64 { return 0 }

func (noRunners) RecordClock(scheduler.RunnerRef, int64, int64) {}

func (noRunners) Poll(context.Context, scheduler.RunnerRef, PollRequest) (scheduler.Report, error) {
	return scheduler.Report{}, errors.New("the cell has no runners")
}

type failingAdvisor struct{}

func (failingAdvisor) Advise(context.Context, job.StepID, []string) ([]scheduler.EligibleRunner, time.Duration, error) {
	return nil, 0, errors.New("the cell has no advice service")
}

// emptyDirectory has no runners. A configuration is encoded as one byte, its version.
type emptyDirectory struct{}

func (emptyDirectory) RunnerPrefix() string { return "servers/" }
func (emptyDirectory) DecodeRunner(Item) (scheduler.RunnerInfo, error) {
	return scheduler.RunnerInfo{}, errors.New("the cell has no runners")
}
func (emptyDirectory) RunnerID(key string) string { return strings.TrimPrefix(key, "servers/") }
func (emptyDirectory) ConfigKey() string          { return "op/config" }
func (emptyDirectory) DecodeConfig(value []byte) (*CellConfig, error) {
	queue := scheduler.Queue{Name: "q", Service: "s", Attempts: 3, Stretch: 2, Objective: time.Second}
	return &CellConfig{Version: int64(value[0]), Raw: value, Routes: []Route{{Host: "h", Prefix: "/", Queue: queue}}}, nil
}

type discardLog struct{}

func (discardLog) Log(string, logrus.Fields) {}
func (discardLog) EndJob(string, bool)       {}

// testStatusRetention is the retention of final job states in these tests.
var testStatusRetention = time.Minute

// testConfigApply is the time in which a change of the configuration has to be in force in these tests.
const testConfigApply = 3 * time.Second

// testWeight is the weight of the machines in most test cells.
const testWeight = 400

// testNode is a node of a cell that runs inside the test process.
type testNode struct {
	*Node
	store  *partitionableStore
	cancel context.CancelFunc
	ended  chan struct{}
}

// testDeps returns the dependencies of a node whose cell has neither runners nor an advice service.
func testDeps() Deps {
	return Deps{
		Runners: noRunners{}, Advisor: failingAdvisor{}, Directory: emptyDirectory{}, Log: discardLog{},
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}
}

// newTestNode returns a node that has not been started.
func newTestNode(store *memoryStore, address string, weight int, seeds ...string) *testNode {
	return newTestNodeWith(testDeps(), store, address, weight, seeds...)
}

func newTestNodeWith(deps Deps, store *memoryStore, address string, weight int, seeds ...string) *testNode {
	return newTestNodeOf(deps, store, Options{Address: address, Weight: weight, Seeds: seeds})
}

func newTestNodeOf(deps Deps, store *memoryStore, opt Options) *testNode {
	tn := &testNode{store: &partitionableStore{memoryStore: store}, ended: make(chan struct{})}
	deps.Store = tn.store
	opt.Name = opt.Address
	opt.ConfigApply = cmp.Or(opt.ConfigApply, testConfigApply)
	opt.Scheduler = scheduler.Config{RunLease: 4 * time.Second, OwnerLease: OwnerLease, StatusRetention: testStatusRetention}
	tn.Node = New(opt, deps)
	return tn
}

func startNode(t *testing.T, store *memoryStore, weight int, seeds ...string) *testNode {
	t.Helper()
	return startNodeWith(t, testDeps(), store, weight, seeds...)
}

func startNodeWith(t *testing.T, deps Deps, store *memoryStore, weight int, seeds ...string) *testNode {
	t.Helper()
	return startNodeOf(t, deps, store, Options{Weight: weight, Seeds: seeds})
}

// startNodeLimited starts a node with a descriptor limit.
func startNodeLimited(t *testing.T, deps Deps, store *memoryStore, descriptors int) *testNode {
	t.Helper()
	return startNodeOf(t, deps, store, Options{Weight: testWeight, DescriptorLimit: descriptors})
}

func startNodeOf(t *testing.T, deps Deps, store *memoryStore, opt Options) *testNode {
	t.Helper()
	return startNodeWithStore(t, deps, store, opt, func(s Store) Store { return s })
}

// startNodeWithStore starts a node with a replaced link to the store.
func startNodeWithStore(t *testing.T, deps Deps, store *memoryStore, opt Options, link func(Store) Store) *testNode {
	t.Helper()
	network := networkOf(t)
	var l net.Listener
	if network != nil {
		l = network.listen()
	} else {
		l = httptest.NewUnstartedServer(nil).Listener // reserves a free port
	}
	opt.Address = l.Addr().String()
	tn := newTestNodeOf(deps, store, opt)
	tn.dep.Store = protectedStore{link(tn.store), tn.Node}
	if network != nil {
		network.useBubble(tn)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tn.cancel = cancel
	go func() {
		defer close(tn.ended)
		_ = tn.Run(ctx, &killableListener{Listener: l, ctx: ctx})
	}()
	t.Cleanup(tn.kill)
	return tn
}

// kill stops the node at once, without a handover.
func (tn *testNode) kill() {
	tn.cancel()
	if o := tn.ownership.Load(); o != nil {
		o.stepDown("killed")
		<-o.ended
	}
	<-tn.ended
}

// killableListener closes its accepted connections when the node is killed.
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
