package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
)

// Delays of retries against the store.
const (
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// maxQuietPeriods limits the total wait before a view is written, in multiples of
// Config.QuietPeriod, so that a member that joins and leaves repeatedly does not delay
// the view indefinitely.
const maxQuietPeriods = 5

// hintTimeout is how long the watch may lag behind a view number learned from a peer
// before the content is listed again.
const hintTimeout = 500 * time.Millisecond

// Manager registers this process, follows the view and writes the next view when
// members join, leave or die. Its methods are safe for concurrent use.
type Manager struct {
	cfg          Config
	updates      chan Update
	batches      chan batch
	renewResults chan error // result of each lease renewal or registration
	writeResults chan error // result of each write of a view
	relist       chan struct{}
	hints        chan uint64

	mu            sync.Mutex
	lease         platform.LeaseID
	memberVersion uint64 // store version of this process's member key
	leaving       bool
	releasing     bool
	released      chan struct{}

	// Owned by the event loop.
	cluster       *cluster
	joined        bool // a view has listed this process as a member
	renewFailures int  // consecutive failed lease renewals or registrations
	writing       bool
	quietTimer    *time.Timer
	differsSince  time.Time                   // start of the wait for the next write, since members and view differ; zero if none
	writeBackOff  *backoff.ExponentialBackOff // delays after failed writes; nil after a success
	hintedNumber  uint64
	hintTimer     *time.Timer
	lastSent      Update
	pendingUpdate *Update
}

// New returns a manager; Run starts it.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:          cfg.withDefaults(),
		updates:      make(chan Update),
		batches:      make(chan batch),
		renewResults: make(chan error),
		writeResults: make(chan error),
		relist:       make(chan struct{}, 1),
		hints:        make(chan uint64, 1),
		released:     make(chan struct{}),
		cluster:      newCluster(),
		quietTimer:   stoppedTimer(),
		hintTimer:    stoppedTimer(),
		lastSent:     Update{StoreReachable: true},
	}
}

func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// Updates delivers the views in order; View.Number never decreases and is repeated
// only when StoreReachable changes. A slow receiver misses intermediate updates, but
// never the latest one. The channel is not closed.
func (m *Manager) Updates() <-chan Update { return m.updates }

// Hint tells the manager a view number learned from a peer. If the watch does not
// deliver that view within hintTimeout, the manager lists the cluster keys again.
func (m *Manager) Hint(number uint64) {
	select {
	case m.hints <- number:
	default:
	}
}

// Run registers this process and follows the cell until ctx ends (it returns the error
// of ctx), Release has finished (nil) or the process was replaced (ErrReplaced). If ctx
// ends, the lease is not revoked and expires.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(protected(func() error { return m.runLease(ctx) }))
	g.Go(protected(func() error { return m.runWatch(ctx) }))
	g.Go(protected(func() error { return m.runLoop(ctx, g) }))
	err := g.Wait()
	if err == errReleased {
		return nil
	}
	return err
}

// runLoop is the event loop: it owns the state of the cluster and decides when to write
// the next view.
func (m *Manager) runLoop(ctx context.Context, g *errgroup.Group) error {
	for {
		out, next := m.nextUpdate()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.released:
			return errReleased
		case out <- next:
			m.lastSent, m.pendingUpdate = next, nil
		case b := <-m.batches:
			if err := m.onBatch(b); err != nil {
				return err
			}
		case err := <-m.renewResults:
			m.onRenewResult(err)
		case <-m.quietTimer.C:
			m.startWrite(ctx, g)
		case err := <-m.writeResults:
			m.onWriteResult(err)
		case number := <-m.hints:
			m.onHint(number)
		case <-m.hintTimer.C:
			m.onHintTimeout()
		}
	}
}

// nextUpdate returns the channel and the update to send, or a nil channel if there is
// nothing to send.
func (m *Manager) nextUpdate() (chan<- Update, Update) {
	if m.pendingUpdate == nil {
		return nil, Update{}
	}
	return m.updates, *m.pendingUpdate
}

// refreshUpdate prepares an update if the view number or the reachability of the store
// differs from the last update sent.
func (m *Manager) refreshUpdate() {
	u := Update{View: m.cluster.view, StoreReachable: m.renewFailures < unreachableAfterFailures}
	if u.View.Number == m.lastSent.View.Number && u.StoreReachable == m.lastSent.StoreReachable {
		m.pendingUpdate = nil
		return
	}
	m.pendingUpdate = &u
}

func (m *Manager) onBatch(b batch) error {
	if !m.cluster.apply(b) {
		m.ensureQuietPeriod()
		return nil
	}
	if m.isReplaced() {
		return ErrReplaced
	}
	m.refreshUpdate()
	m.restartQuietPeriod()
	return nil
}

// isReplaced reports whether the view shows that this process is no longer a member. A
// view that is missing from the store does not show that.
func (m *Manager) isReplaced() bool {
	self := m.cfg.Self.Incarnation
	if slices.Contains(m.cluster.view.Predecessors, self) {
		return true
	}
	if m.isLeaving() {
		return false
	}
	if _, ok := m.cluster.view.Find(self); ok {
		m.joined = true
		return false
	}
	return m.joined && m.cluster.viewVersion != platform.CreateOnly
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

func (m *Manager) onRenewResult(err error) {
	if err == nil {
		m.renewFailures = 0
	} else {
		m.renewFailures++
	}
	m.refreshUpdate()
}

// restartQuietPeriod restarts the quiet period if the members differ from the view,
// within the limit of maxQuietPeriods.
func (m *Manager) restartQuietPeriod() {
	m.quietTimer.Stop()
	if _, differs := m.cluster.next(); !differs {
		m.differsSince = time.Time{}
		return
	}
	if m.differsSince.IsZero() {
		m.differsSince = time.Now()
	}
	// Jitter keeps the members from writing the same view at the same moment.
	wait := m.cfg.QuietPeriod + rand.N(m.cfg.QuietPeriod/4+1)
	limit := time.Until(m.differsSince.Add(maxQuietPeriods * m.cfg.QuietPeriod))
	m.quietTimer.Reset(max(0, min(wait, limit)))
}

// ensureQuietPeriod starts a quiet period if the members differ from the view and
// neither a quiet period nor a write is in progress.
func (m *Manager) ensureQuietPeriod() {
	if m.differsSince.IsZero() && !m.writing {
		m.restartQuietPeriod()
	}
}

func (m *Manager) startWrite(ctx context.Context, g *errgroup.Group) {
	next, differs := m.cluster.next()
	if !differs || m.writing {
		return
	}
	m.writing = true
	next.Change = uuid.NewString()
	ifVersion := m.cluster.viewVersion
	g.Go(protected(func() error {
		err := m.writeView(ctx, next, ifVersion)
		select {
		case m.writeResults <- err:
		case <-ctx.Done():
		}
		return nil
	}))
}

func (m *Manager) writeView(ctx context.Context, v model.View, ifVersion uint64) error {
	_, err := platform.PutWithReadBack(ctx, m.cfg.Store, viewKey, encode(v),
		platform.PutOptions{IfVersion: ifVersion}, v.Change, viewChange)
	if err == nil {
		logrus.Infof("membership: wrote view %d with %d members, %d predecessors", v.Number, len(v.Members), len(v.Predecessors))
	}
	return err
}

// onWriteResult schedules another write if the members still differ from the view:
// after a quiet period, or after an additional delay if the last write failed.
func (m *Manager) onWriteResult(err error) {
	m.writing = false
	m.differsSince = time.Time{}
	if err == nil {
		m.writeBackOff = nil
		m.restartQuietPeriod()
		return
	}
	if m.writeBackOff == nil {
		m.writeBackOff = platform.NewBackOff(initialRetryDelay, maxRetryDelay)
	}
	if _, differs := m.cluster.next(); differs {
		m.differsSince = time.Now()
		m.quietTimer.Reset(m.cfg.QuietPeriod + m.writeBackOff.NextBackOff())
	}
}

func (m *Manager) onHint(number uint64) {
	if number <= m.cluster.view.Number || number <= m.hintedNumber {
		return
	}
	m.hintedNumber = number
	m.hintTimer.Reset(hintTimeout)
}

func (m *Manager) onHintTimeout() {
	if m.hintedNumber <= m.cluster.view.Number {
		return
	}
	m.hintedNumber = 0
	select {
	case m.relist <- struct{}{}:
	default:
	}
}
