package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/membership"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

// ErrReplaced means that another process has sealed the journal of this incarnation,
// or that membership.Manager has returned membership.ErrReplaced. Other processes
// own its shards and pools.
var ErrReplaced = errors.New("incarnation was replaced")

// errStopped means that the process or this incarnation has ended.
var errStopped = errors.New("process is stopping")

// Node is one incarnation of an entry process.
type Node struct {
	cfg          Config
	self         model.Member
	log          *logrus.Entry
	clock        *timeline.Clock
	recorder     *timeline.Recorder
	config       *configstore.Cache
	members      *membership.Manager
	journal      *journal.Writer
	peers        *peers
	loop         *loop
	view         atomic.Pointer[model.View]
	viewChanged  *broadcast
	ready        atomic.Pointer[readiness]
	fetchingView sync.Mutex
	inFlight     atomic.Int64 // dispatches and start calls in flight
	left         atomic.Bool  // Leave has released the membership

	ctx    context.Context // ends with the incarnation
	cancel context.CancelCauseFunc
	done   <-chan struct{}
}

// NewNode returns a new incarnation. Run starts it.
func NewNode(ctx context.Context, cfg Config) *Node {
	ctx, cancel := context.WithCancelCause(ctx)
	n := &Node{
		cfg: cfg,
		self: model.Member{
			Incarnation: uuid.NewString(),
			Zone:        cfg.Settings.Zone,
			RPCAddress:  cfg.Settings.RPCAddress,
			HTTPAddress: cfg.Settings.HTTPAddress,
		},
		log:         cfg.Log,
		clock:       cfg.Recorder.Clock(),
		recorder:    cfg.Recorder,
		config:      cfg.Cache,
		peers:       newPeers(),
		viewChanged: newBroadcast(),
		ctx:         ctx,
		cancel:      cancel,
		done:        ctx.Done(),
	}
	n.view.Store(&model.View{})
	n.members = membership.New(membership.Config{Self: n.self, Store: cfg.Store})
	n.journal = journal.NewWriter(journal.Config{Store: cfg.Store, Incarnation: n.self.Incarnation})
	n.loop = newLoop(n)
	return n
}

// Run runs the incarnation until its context ends or a goroutine fails; Leave does
// not end it. It returns ErrReplaced if the incarnation was replaced, errPanic after a
// panic, and nil if its context was cancelled.
func (n *Node) Run() error {
	g, ctx := errgroup.WithContext(n.ctx)
	run := func(where string, f func() error) { g.Go(func() error { return n.protect(where, f) }) }
	run("event loop", func() error { return n.loop.run(n.ctx) })
	run("journal", func() error { return n.runJournal(ctx) })
	run("membership", func() error { return n.runMembership(ctx) })
	run("views", func() error { return n.watchViews(ctx) })
	run("configuration", func() error { return n.watchConfig(ctx) })
	run("VM list", func() error { return n.pollVMList(ctx) })
	run("gossip", func() error { return n.runGossip(ctx) })
	run("sweep", func() error { return n.runSweep(ctx) })
	go func() {
		// A failure of one goroutine ends the incarnation.
		<-ctx.Done()
		n.cancel(context.Cause(ctx))
	}()
	err := g.Wait()
	n.peers.close()
	cause := context.Cause(n.ctx)
	switch {
	case errors.Is(cause, ErrReplaced), errors.Is(err, journal.ErrSealed):
		// Every record may have expired before the journal was found sealed, so that no
		// record reported it.
		return ErrReplaced
	case failed(cause):
		return cause
	case errors.Is(err, context.Canceled):
		return nil
	}
	return err
}

// stopReplaced ends the incarnation with ErrReplaced.
func (n *Node) stopReplaced() {
	if !n.left.Load() {
		n.cancel(ErrReplaced)
	}
}

// runJournal runs the writer of the journal. After Leave the journal is sealed.
func (n *Node) runJournal(ctx context.Context) error {
	err := n.journal.Run(ctx)
	if n.left.Load() && errors.Is(err, journal.ErrSealed) {
		return nil
	}
	return err
}

func (n *Node) runMembership(ctx context.Context) error {
	err := n.members.Run(ctx)
	if errors.Is(err, membership.ErrReplaced) {
		n.stopReplaced()
		return ErrReplaced
	}
	return err
}

// watchViews passes views from the store to the loop.
func (n *Node) watchViews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-n.members.Updates():
			n.post(storeViewReceived{view: u.View, storeReachable: u.StoreReachable})
		}
	}
}

// watchConfig notifies the loop of configuration changes.
func (n *Node) watchConfig(ctx context.Context) error {
	changes := n.config.Subscribe()
	for {
		n.post(configChanged{})
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
	}
}

// configChanged makes the loop apply the current configuration.
type configChanged struct{}

func (configChanged) apply(l *loop) {
	now := l.now()
	l.templates = make(map[model.TemplateID]model.Template)
	for _, t := range l.n.config.Templates() {
		l.templates[t.ID] = t
	}
	l.table.SetTemplates(now, l.templates)
	for _, p := range l.pools {
		p.pool.SetTemplates(now, l.templates)
	}
	l.refreshPools()
}

// header returns the header for a message that is sent now.
func (n *Node) header() Header {
	return Header{From: n.self.Incarnation, View: n.currentView().Number, Time: n.clock.Now()}
}

// observe handles the header of a received message. It advances the clock, and
// fetches the sender's view if that is newer.
func (n *Node) observe(h Header) {
	n.clock.Observe(h.Time)
	if h.View > n.currentView().Number {
		n.members.Hint(h.View)
		n.fetchView(h.From)
	}
}

// currentView returns the newest view that the process knows.
func (n *Node) currentView() model.View {
	return *n.view.Load()
}

// dropPredecessor removes the journal of a dead process whose state all members
// have adopted, and then removes the process from the view.
func (n *Node) dropPredecessor(incarnation string) {
	ctx, cancel := context.WithTimeout(n.ctx, journalTimeout)
	defer cancel()
	err := journal.Remove(ctx, n.cfg.Store, incarnation)
	if err == nil {
		err = n.members.DropPredecessor(ctx, incarnation)
	}
	if err != nil {
		n.log.WithError(err).WithField("incarnation", incarnation).Warn("journal: can't remove a dead process and its journal; will retry")
	}
	n.post(predecessorDropped{incarnation: incarnation})
}

// predecessorDropped marks a removal as finished. A failed one is retried.
type predecessorDropped struct {
	incarnation string
}

func (e predecessorDropped) apply(l *loop) { delete(l.takeover.removing, e.incarnation) }

// Leave hands over all shards and leaves the view. It returns when no shard state
// and no work in flight remains, or when ctx ends. Without a process to hand over to, the
// shards stay in the journal: the process remains in the view, and the next process
// adopts its journal when its lease has expired.
func (n *Node) Leave(ctx context.Context) error {
	if err := n.members.Leave(ctx); err != nil {
		return err
	}
	keepsState, err := n.waitForHandover(ctx)
	if err != nil {
		return err
	}
	if keepsState {
		return n.journal.Flush(ctx)
	}
	if err = n.members.Release(ctx); err != nil {
		return err
	}
	// The process goes on to forward the requests in flight, but its journal is not needed
	// any more.
	n.left.Store(true)
	if err = n.removeJournal(ctx); err != nil {
		n.log.WithError(err).Warn("journal: can't remove the journal of this process")
	}
	return nil
}

// removeJournal removes the journal of this process. Only a sealed journal can be removed.
func (n *Node) removeJournal(ctx context.Context) error {
	if err := journal.Seal(ctx, n.cfg.Store, n.self.Incarnation, n.self.Incarnation); err != nil {
		return err
	}
	return journal.Remove(ctx, n.cfg.Store, n.self.Incarnation)
}

// handoverPollInterval is the time between two checks whether the handover is
// complete.
const handoverPollInterval = 20 * time.Millisecond

// waitForHandover returns when the handover is complete, or when there is no process to
// hand over to: then keepsState is set.
func (n *Node) waitForHandover(ctx context.Context) (keepsState bool, err error) {
	for {
		s, err := postAndWait(ctx, n, func(r chan<- handoverStatus) event { return handoverStatusRequest{result: r} })
		if err != nil || s.done {
			return s.keepsState, err
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(handoverPollInterval):
		}
	}
}

// handoverStatusRequest requests from the loop whether the handover is complete:
// no shard state and no work in flight remains.
type handoverStatusRequest struct {
	result chan<- handoverStatus
}

// handoverStatus is the result of handoverStatusRequest.
type handoverStatus struct {
	done       bool
	keepsState bool // no process is there to hand over to
}

func (e handoverStatusRequest) apply(l *loop) {
	// Without members in the view there is no process to hand over to.
	alone := len(l.view.Members) == 0 && l.view.Number > 0
	unfinished := l.n.inFlight.Load() > 0 || len(l.outbox.queue) > 0
	empty := l.takeover.empty()
	e.result <- handoverStatus{done: (empty || alone) && !unfinished, keepsState: !empty}
}
