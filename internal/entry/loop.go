package entry

import (
	"context"
	"math/rand"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/shard"
)

const (
	// eventQueueSize is the capacity of the event queue.
	eventQueueSize = 4096
	// eventBatchSize limits the queued events that are applied before grants and
	// demand are computed.
	eventBatchSize = 256
	// tickInterval is the resolution of timeouts in internal/shard and internal/pool.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the resolution while the process is idle, when ticks at
	// tickInterval would cost 0.4% of a core. It is the longest interval that
	// pool.Pool.Tick allows.
	idleTickInterval = 100 * time.Millisecond
)

// event is a message to the loop. The loop applies one event at a time.
type event interface {
	apply(l *loop)
}

// loop owns the state of the process, see the package comment. Only the goroutine
// that executes run may access it.
type loop struct {
	n      *Node
	events chan event
	rnd    *rand.Rand

	view            model.View
	storeReachable  bool
	table           *shard.Table
	pools           map[model.PoolID]*ownedPool
	vms             map[string]platform.VM
	lastVMList      []platform.VM // source of vms
	summaries       map[model.PoolID]model.PoolSummary
	summaryOrder    summaryOrder
	digest          uint64 // of all summaries
	unsentSummaries map[model.PoolID]bool
	templates       map[model.TemplateID]model.Template
	waiters         map[shard.WaiterID]chan model.Reply
	waiterIDs       map[chan model.Reply]shard.WaiterID
	lastWaiter      shard.WaiterID
	vmListLoaded    bool // the VM list has been read

	demand             *demandState
	gangPlacer         *gangPlacer
	demandDirty        bool
	takeover           *takeover
	outbox             *outbox
	dispatches         *dispatches
	acks               *acks
	stopRetrier        *stopRetrier
	compaction         compaction
	capacityUpdatedAt  time.Time
	summariesFetchedAt time.Time // last fetch of all summaries from a peer
	poolsTickedAt      time.Time // last tick that included pools without demand
	lastPeerMessage    time.Time // last gossip message from a peer
	lastActive         time.Time // when the last event or tick began
}

func newLoop(n *Node) *loop {
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	l := &loop{
		n:               n,
		events:          make(chan event, eventQueueSize),
		rnd:             rnd,
		table:           shard.New(n.cfg.shardConfig(), rnd),
		pools:           make(map[model.PoolID]*ownedPool),
		vms:             make(map[string]platform.VM),
		summaries:       make(map[model.PoolID]model.PoolSummary),
		unsentSummaries: make(map[model.PoolID]bool),
		templates:       make(map[model.TemplateID]model.Template),
		waiters:         make(map[shard.WaiterID]chan model.Reply),
		waiterIDs:       make(map[chan model.Reply]shard.WaiterID),
	}
	l.demand = newDemandState()
	l.takeover = newTakeover(l)
	l.outbox = newOutbox(l)
	l.dispatches = newDispatches(l)
	l.acks = newAcks(l)
	l.gangPlacer = newGangPlacer(l)
	l.stopRetrier = newStopRetrier()
	return l
}

// now returns the time that is passed to internal/shard and internal/pool.
func (l *loop) now() time.Time { return time.Now() }

// run applies events until ctx ends.
func (l *loop) run(ctx context.Context) error {
	interval := tickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	// demandTimer fires when the next demand update may be sent. Without it, work
	// that arrived within demandInterval would wait for the next event or tick.
	demandTimer := time.NewTimer(demandInterval)
	defer demandTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.events:
			if !l.confirmAfterPause() {
				return ErrReplaced
			}
			e.apply(l)
			l.drain()
		case <-ticker.C:
			if !l.confirmAfterPause() {
				return ErrReplaced
			}
			l.tick()
		case <-demandTimer.C:
		}
		l.flushChanges()
		if l.demandDirty {
			demandTimer.Reset(demandInterval)
		}
		if next := l.nextTickInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
	}
}

// nextTickInterval returns the tick interval that the current state requires.
func (l *loop) nextTickInterval() time.Duration {
	if l.busy() {
		return tickInterval
	}
	return idleTickInterval
}

// busy reports whether anything is pending that needs ticks more often than at
// idleTickInterval.
func (l *loop) busy() bool {
	if len(l.waiters) > 0 || l.demandDirty || l.takeover.inProgress() || l.outbox.pending() || l.acks.pending() {
		return true
	}
	if due, ok := l.table.Next(); ok && due.Before(l.now().Add(idleTickInterval)) {
		return true
	}
	for _, p := range l.pools {
		if p.hasDemand() {
			return true
		}
	}
	return false
}

// drain applies the events that are already queued, so that grants are computed
// once per batch and not for each event.
func (l *loop) drain() {
	for range eventBatchSize {
		select {
		case e := <-l.events:
			if !l.confirmAfterPause() {
				return
			}
			e.apply(l)
		default:
			return
		}
	}
}

// tick applies timeouts and periodic work.
func (l *loop) tick() {
	now := l.now()
	if due, ok := l.table.Next(); ok && !due.After(now) {
		l.applyShard(l.table.Tick(now))
	}
	l.tickPools(now)
	if l.demand.hasOutstanding() {
		// Local pools may have gained free capacity since the demand was split.
		l.demandDirty = true
	}
	l.outbox.retry(now)
	l.acks.flush(now)
	l.requestStops(l.stopRetrier.retry(now, l.takeover.acceptsCompletion))
	l.dispatches.resolve(now)
	l.takeover.tick(now)
	l.compaction.startIfDue(l)
	l.refreshCapacity(now)
	l.updateReady(now)
}

// tickPools ticks the pools with demand, and all pools at about idleTickInterval.
func (l *loop) tickPools(now time.Time) {
	all := now.Sub(l.poolsTickedAt) >= idleTickInterval-tickInterval
	if all {
		l.poolsTickedAt = now
	}
	for _, p := range l.pools {
		if all || p.hasDemand() {
			l.applyPool(p, p.pool.Tick(now))
		}
	}
}

// flushChanges sends demand and grants that result from the batch of events. The
// second flush covers demand that scheduling has changed.
func (l *loop) flushChanges() {
	l.demand.flush(l)
	l.schedulePools()
	l.demand.flush(l)
}

// post queues an event for the loop. It blocks while the queue is full, and drops
// the event when the incarnation ends.
func (n *Node) post(e event) {
	select {
	case n.loop.events <- e:
	case <-n.done:
	}
}

// postAndWait posts an event and waits for the result that it sends.
func postAndWait[T any](ctx context.Context, n *Node, newEvent func(result chan<- T) event) (T, error) {
	result := make(chan T, 1)
	var zero T
	select {
	case n.loop.events <- newEvent(result):
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-n.done:
		return zero, errStopped
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-n.done:
		return zero, errStopped
	}
}
