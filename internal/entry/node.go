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

// ErrReplaced ends an incarnation that the other processes have given up on.
var ErrReplaced = errors.New("incarnation was replaced")

// errStopped means that the process or this incarnation has ended.
var errStopped = errors.New("process is stopping")

// Node is one incarnation of an entry process.
type Node struct {
	cfg      Config
	self     model.Member
	log      *logrus.Entry
	clock    *timeline.Clock
	recorder *timeline.Recorder
	config   *configstore.Cache
	members  *membership.Manager
	journal  *journal.Writer
	peers    *peers
	loop     *loop
	view     atomic.Pointer[model.View]
	viewNews *broadcast
	ready    atomic.Pointer[readiness]
	fetching sync.Mutex
	inFlight atomic.Int64 // dispatches and starts under way

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
		log:      cfg.Log,
		clock:    cfg.Recorder.Clock(),
		recorder: cfg.Recorder,
		config:   cfg.Cache,
		peers:    newPeers(),
		viewNews: newBroadcast(),
		ctx:      ctx,
		cancel:   cancel,
		done:     ctx.Done(),
	}
	n.view.Store(&model.View{})
	n.members = membership.New(membership.Config{Self: n.self, Store: cfg.Store})
	n.journal = journal.NewWriter(journal.Config{Store: cfg.Store, Incarnation: n.self.Incarnation})
	n.loop = newLoop(n)
	return n
}

// Run works until ctx ends, the incarnation is replaced (ErrReplaced) or it has
// left in order (nil).
func (n *Node) Run() error {
	g, ctx := errgroup.WithContext(n.ctx)
	g.Go(func() error { return n.loop.run(n.ctx) })
	g.Go(func() error { return n.journal.Run(ctx) })
	g.Go(func() error { return n.runMembership(ctx) })
	g.Go(func() error { return n.followViews(ctx) })
	g.Go(func() error { return n.followConfig(ctx) })
	g.Go(func() error { return n.runDirectory(ctx) })
	g.Go(func() error { return n.runGossip(ctx) })
	g.Go(func() error { return n.runSweep(ctx) })
	go func() {
		// A part that fails ends the incarnation.
		<-ctx.Done()
		n.cancel(context.Cause(ctx))
	}()
	err := g.Wait()
	n.peers.close()
	if cause := context.Cause(n.ctx); errors.Is(cause, ErrReplaced) {
		return ErrReplaced
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// replaced ends the incarnation because a successor has sealed its journal or
// its lease has lapsed.
func (n *Node) replaced() {
	n.cancel(ErrReplaced)
}

func (n *Node) runMembership(ctx context.Context) error {
	err := n.members.Run(ctx)
	if errors.Is(err, membership.ErrReplaced) {
		n.replaced()
		return ErrReplaced
	}
	return err
}

// followViews hands the views of the store to the loop.
func (n *Node) followViews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-n.members.Updates():
			n.post(viewArrived{view: u.View, storeReachable: u.StoreReachable})
		}
	}
}

// followConfig hands changes of the configuration to the loop.
func (n *Node) followConfig(ctx context.Context) error {
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

// configChanged makes the loop follow the configuration in force.
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

// header returns the header for a message that leaves now.
func (n *Node) header() Header {
	return Header{From: n.self.Incarnation, View: n.currentView().Number, Time: n.clock.Now()}
}

// observe takes the header of a received message.
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

// dropPredecessor removes the journal of a process that all members have
// adopted, then its name from the view.
func (n *Node) dropPredecessor(incarnation string) {
	ctx, cancel := context.WithTimeout(n.ctx, journalTimeout)
	defer cancel()
	err := journal.Remove(ctx, n.cfg.Store, incarnation)
	if err == nil {
		err = n.members.DropPredecessor(ctx, incarnation)
	}
	if err != nil {
		n.log.WithError(err).WithField("incarnation", incarnation).Warn("journal: predecessor can't be removed yet")
	}
	n.post(predecessorDropped{incarnation: incarnation})
}

// predecessorDropped ends a removal. If it failed, it is tried again.
type predecessorDropped struct {
	incarnation string
}

func (e predecessorDropped) apply(l *loop) { delete(l.takeover.dropping, e.incarnation) }

// Leave hands everything over and leaves the view. It returns when no shard
// state and no work in flight is left, or when ctx ends.
func (n *Node) Leave(ctx context.Context) error {
	if err := n.members.Leave(ctx); err != nil {
		return err
	}
	if err := n.waitHandedOver(ctx); err != nil {
		return err
	}
	if err := journal.Remove(ctx, n.cfg.Store, n.self.Incarnation); err != nil {
		n.log.WithError(err).Warn("journal: own journal can't be removed")
	}
	return n.members.Release(ctx)
}

// handoverPoll is the time between two looks at what is left to hand over.
const handoverPoll = 20 * time.Millisecond

func (n *Node) waitHandedOver(ctx context.Context) error {
	for {
		empty, err := ask(ctx, n, func(r chan<- bool) event { return handedOver{result: r} })
		if err != nil || empty {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(handoverPoll):
		}
	}
}

// handedOver asks whether state or work in flight is left.
type handedOver struct {
	result chan<- bool
}

func (e handedOver) apply(l *loop) {
	// A cell without members has nobody to hand over to.
	alone := len(l.view.Members) == 0 && l.view.Number > 0
	left := l.n.inFlight.Load() > 0 || len(l.outbox.waiting) > 0
	e.result <- (l.takeover.empty() || alone) && !left
}
