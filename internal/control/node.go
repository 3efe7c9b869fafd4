package control

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/agateyard/agateyard/internal/candidacy"
)

// Logger writes one structured log line per decision. It never blocks.
type Logger interface {
	Log(event string, fields logrus.Fields)
	// EndJob ends the lines about a job. Those of a job that ended badly are all kept.
	EndJob(job string, badly bool)
}

// Deps are the services that a process uses.
type Deps struct {
	Store     Store
	Runners   Runners
	Advisor   Advisor
	Directory Directory
	Log       Logger
	Metrics   *Metrics
}

// Node is one process of a cell. All processes run the same code; one of them is the owner.
type Node struct {
	opt            Options
	dep            Deps
	clock          Clock
	incarnation    string
	view           *view
	health         storeHealth
	badRecords     badRecords
	pauses         pauseDetector
	peers          peerClients
	ownership      atomic.Pointer[ownership]
	leaving        atomic.Bool
	deferral       candidacy.Deferral // only used by watchOwner
	searchingOwner atomic.Bool        // a background search for the owner is running
	adviceCalls    chan adviceCall
	rereadConfig   chan struct{} // requests another read of the configuration
	beginMu        sync.Mutex
	begunTerm      atomic.Int64 // term of the last ownership that this process has started
	loopPanickedAt atomic.Int64 // when the event loop of an ownership of this process last panicked, on the clock; 0: never

	createdAt       time.Duration
	limits          configLimits
	config          configInForce
	configRead      sharedCall   // reads the configuration from the store
	peersConfig     sharedCall   // asks peers for the configuration
	recheckFailedAt atomic.Int64 // when the last attempt to confirm the configuration failed
}

// New returns a process that has not been started.
func New(opt Options, dep Deps) *Node {
	n := &Node{
		opt:          opt,
		incarnation:  uuid.NewString(),
		view:         newView(),
		adviceCalls:  make(chan adviceCall, adviceQueueSize),
		rereadConfig: make(chan struct{}, 1),
		limits:       newConfigLimits(opt.ConfigApply),
		config:       newConfigInForce(),
	}
	n.dep = n.protected(dep)
	n.peers.n = n
	n.createdAt = n.clock.Now()
	n.configRead = sharedCall{interval: configReadInterval, limit: maxConfigReads, run: n.readStoreConfig}
	n.peersConfig = sharedCall{interval: peersAskInterval, limit: 1, run: n.askPeersForConfig}
	dep.Metrics.setConfigAge(n.configAgeSeconds)
	dep.Metrics.setOwnerless(n.ownerlessSeconds)
	return n
}

// Run serves peers on the listener and is a member of the cell until ctx is done.
func (n *Node) Run(ctx context.Context, peers net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.servePeers(ctx, peers) })
	loops := map[string]func(context.Context){
		"register": n.register, "watch cell": n.watchCell, "watch configuration": n.watchConfig, "watch owner": n.watchOwner,
		"pause detector": func(ctx context.Context) { n.pauses.run(ctx, n.clock) }, "confirm configuration": n.keepConfirmed,
	}
	for name, loop := range loops {
		g.Go(func() error { n.keepRunning(ctx, name, loop); return nil })
	}
	for range adviceConcurrency {
		g.Go(func() error { n.keepRunning(ctx, "advice calls", n.serveAdviceCalls); return nil })
	}
	return g.Wait()
}

// recordStoreCall records the result of a store call in the metrics and the store's health, and logs when the store is
// lost or regained. For the health a refused call is a failure, although the store has answered it.
func (n *Node) recordStoreCall(call string, err error) {
	n.dep.Metrics.storeCall(call, err)
	if LocalFailure(err) || errors.Is(err, context.Canceled) {
		return // it says nothing about the store
	}
	changed, outage := n.health.record(err == nil, n.clock.Now())
	if !changed {
		return
	}
	if err != nil {
		n.dep.Log.Log("store-lost", logrus.Fields{"call": call, "error": err.Error()})
		return
	}
	n.dep.Log.Log("store-regained", logrus.Fields{"call": call, "away_ms": outage.Milliseconds()})
}
