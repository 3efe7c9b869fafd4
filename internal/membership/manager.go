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
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// maxQuietFactor bounds the wait for quiet, in multiples of Config.Quiet, so that
// a member that keeps coming and going does not hold back the view.
const maxQuietFactor = 5

// hintPatience is how long the watch may lag behind a view number learned from a
// peer before the content is listed anew.
const hintPatience = 500 * time.Millisecond

// Manager registers this process, follows the view and writes the next view when
// members come or go. Its methods are safe for concurrent use.
type Manager struct {
	cfg     Config
	updates chan Update
	batches chan batch
	renewed chan error // result of each lease renewal
	wrote   chan error // result of each write of a view
	relist  chan struct{}
	hints   chan uint64

	mu        sync.Mutex
	lease     platform.LeaseID
	version   uint64 // of the own member key
	leaving   bool
	releasing bool
	released  chan struct{}

	// Owned by the event loop.
	cluster   *cluster
	joined    bool // a view had this process
	failures  int  // lease renewals that failed in a row
	writing   bool
	quiet     *time.Timer
	quietFrom time.Time                   // first difference that the next view must settle; zero for none
	writeWait *backoff.ExponentialBackOff // between writes that failed; nil after a success
	hinted    uint64
	hintTimer *time.Timer
	sent      Update
	pending   *Update
}

// New returns a manager; Run starts it.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:       cfg.withDefaults(),
		updates:   make(chan Update),
		batches:   make(chan batch),
		renewed:   make(chan error),
		wrote:     make(chan error),
		relist:    make(chan struct{}, 1),
		hints:     make(chan uint64, 1),
		released:  make(chan struct{}),
		cluster:   newCluster(),
		quiet:     stoppedTimer(),
		hintTimer: stoppedTimer(),
		sent:      Update{StoreReachable: true},
	}
}

func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// Updates delivers the views in order; View.Number never goes back and is repeated
// only where StoreReachable changes. A slow receiver misses intermediate updates,
// never the last. The channel is not closed.
func (m *Manager) Updates() <-chan Update { return m.updates }

// Hint tells the manager of a view number learned from a peer. If the watch does
// not deliver that view soon, the manager reads the store anew.
func (m *Manager) Hint(number uint64) {
	select {
	case m.hints <- number:
	default:
	}
}

// Run registers this process and follows the cell until ctx ends (the error of ctx),
// Release has finished (nil) or the process was replaced (ErrReplaced). When ctx
// ends the lease is left to lapse.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.runLease(ctx) })
	g.Go(func() error { return m.runWatch(ctx) })
	g.Go(func() error { return m.runLoop(ctx, g) })
	err := g.Wait()
	if err == errReleased {
		return nil
	}
	return err
}

// runLoop owns the state of the cluster and decides on the next view.
func (m *Manager) runLoop(ctx context.Context, g *errgroup.Group) error {
	for {
		out, next := m.outgoing()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.released:
			return errReleased
		case out <- next:
			m.sent, m.pending = next, nil
		case b := <-m.batches:
			if err := m.onBatch(b); err != nil {
				return err
			}
		case err := <-m.renewed:
			m.onRenewed(err)
		case <-m.quiet.C:
			m.startWrite(ctx, g)
		case err := <-m.wrote:
			m.onWrote(err)
		case number := <-m.hints:
			m.onHint(number)
		case <-m.hintTimer.C:
			m.onHintDue()
		}
	}
}

// outgoing returns the channel and the update to send, or a nil channel.
func (m *Manager) outgoing() (chan<- Update, Update) {
	if m.pending == nil {
		return nil, Update{}
	}
	return m.updates, *m.pending
}

// refresh prepares an update if there is news.
func (m *Manager) refresh() {
	u := Update{View: m.cluster.view, StoreReachable: m.failures < failuresUntilUnreachable}
	if u.View.Number == m.sent.View.Number && u.StoreReachable == m.sent.StoreReachable {
		m.pending = nil
		return
	}
	m.pending = &u
}

func (m *Manager) onBatch(b batch) error {
	if !m.cluster.apply(b) {
		m.schedule()
		return nil
	}
	if m.replaced() {
		return ErrReplaced
	}
	m.refresh()
	m.restartQuiet()
	return nil
}

// replaced reports whether the view or the loss of the member key shows that this
// process is no longer a member.
func (m *Manager) replaced() bool {
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

func (m *Manager) onRenewed(err error) {
	if err == nil {
		m.failures = 0
	} else {
		m.failures++
	}
	m.refresh()
}

// restartQuiet starts the quiet period anew, within the bound of maxQuietFactor.
func (m *Manager) restartQuiet() {
	m.quiet.Stop()
	if _, differs := m.cluster.next(); !differs {
		m.quietFrom = time.Time{}
		return
	}
	if m.quietFrom.IsZero() {
		m.quietFrom = time.Now()
	}
	// Jitter keeps the members from writing the same view at the same moment.
	wait := m.cfg.QuietPeriod + rand.N(m.cfg.QuietPeriod/4+1)
	limit := time.Until(m.quietFrom.Add(maxQuietFactor * m.cfg.QuietPeriod))
	m.quiet.Reset(max(0, min(wait, limit)))
}

// schedule starts a quiet period if none is running and one is needed.
func (m *Manager) schedule() {
	if m.quietFrom.IsZero() && !m.writing {
		m.restartQuiet()
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
	g.Go(func() error {
		err := m.writeView(ctx, next, ifVersion)
		select {
		case m.wrote <- err:
		case <-ctx.Done():
		}
		return nil
	})
}

func (m *Manager) writeView(ctx context.Context, v model.View, ifVersion uint64) error {
	_, err := platform.PutWithReadBack(ctx, m.cfg.Store, viewKey, encode(v),
		platform.PutOptions{IfVersion: ifVersion}, v.Change, viewChange)
	if err == nil {
		logrus.Infof("membership: wrote view %d with %d members, %d predecessors", v.Number, len(v.Members), len(v.Predecessors))
	}
	return err
}

// onWrote plans another write: at once after the quiet period if the members still
// differ from the view, later if the store refused.
func (m *Manager) onWrote(err error) {
	m.writing = false
	m.quietFrom = time.Time{}
	if err == nil {
		m.writeWait = nil
		m.restartQuiet()
		return
	}
	if m.writeWait == nil {
		m.writeWait = platform.NewBackOff(firstRetry, maxRetry)
	}
	if _, differs := m.cluster.next(); differs {
		m.quietFrom = time.Now()
		m.quiet.Reset(m.cfg.QuietPeriod + m.writeWait.NextBackOff())
	}
}

func (m *Manager) onHint(number uint64) {
	if number <= m.cluster.view.Number || number <= m.hinted {
		return
	}
	m.hinted = number
	m.hintTimer.Reset(hintPatience)
}

func (m *Manager) onHintDue() {
	if m.hinted <= m.cluster.view.Number {
		return
	}
	m.hinted = 0
	select {
	case m.relist <- struct{}{}:
	default:
	}
}
