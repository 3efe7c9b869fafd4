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
	// loopQueue is the number of events that may wait for the loop.
	loopQueue = 4096
	// loopBatch bounds the events handled before grants and demand are computed.
	loopBatch = 256
	// tickInterval is the resolution of time limits in the decision packages.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval is the resolution while nothing waits. Ticks of an idle
	// process at tickInterval cost 0.4% of a core. It is the longest that
	// pool.Pool.Tick allows.
	idleTickInterval = 100 * time.Millisecond
)

// event is a message to the loop. Events are applied one at a time.
type event interface {
	apply(l *loop)
}

// loop owns the control state of the process. Only its goroutine touches it.
type loop struct {
	n      *Node
	events chan event
	rnd    *rand.Rand

	view           model.View
	storeReachable bool
	table          *shard.Table
	pools          map[model.PoolID]*ownedPool
	vms            map[string]platform.VM
	vmsRead        []platform.VM // the list that vms holds
	summaries      map[model.PoolID]model.PoolSummary
	summaryOrder   summaryOrder
	digest         uint64 // of summaries
	freshSummaries map[model.PoolID]bool
	templates      map[model.TemplateID]model.Template
	waiters        map[shard.WaiterID]chan model.Reply
	waiterIDs      map[chan model.Reply]shard.WaiterID
	lastWaiter     shard.WaiterID
	vmsKnown       bool // the VM list has been read

	demand      *demandState
	gangs       *gangs
	demandDirty bool
	takeover    *takeover
	outbox      *outbox
	dispatches  *dispatches
	acks        *acks
	stops       *stops
	compaction  compaction
	capacityAt  time.Time
	fetchedAt   time.Time // last fetch of all summaries of a peer
	poolsAt     time.Time // last tick of the pools without demand
	peerHeard   time.Time // last message from a peer
}

func newLoop(n *Node) *loop {
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	l := &loop{
		n:              n,
		events:         make(chan event, loopQueue),
		rnd:            rnd,
		table:          shard.New(n.cfg.shardConfig(), rnd),
		pools:          make(map[model.PoolID]*ownedPool),
		vms:            make(map[string]platform.VM),
		summaries:      make(map[model.PoolID]model.PoolSummary),
		freshSummaries: make(map[model.PoolID]bool),
		templates:      make(map[model.TemplateID]model.Template),
		waiters:        make(map[shard.WaiterID]chan model.Reply),
		waiterIDs:      make(map[chan model.Reply]shard.WaiterID),
	}
	l.demand = newDemandState()
	l.takeover = newTakeover(l)
	l.outbox = newOutbox(l)
	l.dispatches = newDispatches(l)
	l.acks = newAcks(l)
	l.gangs = newGangs(l)
	l.stops = newStops()
	return l
}

// now returns the time for the decision packages.
func (l *loop) now() time.Time { return time.Now() }

// run applies events until ctx ends.
func (l *loop) run(ctx context.Context) error {
	interval := tickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	// demandDue ends the pause between two statements of demand. Without it, work
	// that came within the pause would wait for the next event or tick.
	demandDue := time.NewTimer(demandInterval)
	defer demandDue.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.events:
			e.apply(l)
			l.drain()
		case <-ticker.C:
			l.tick()
		case <-demandDue.C:
		}
		l.settle()
		if l.demandDirty {
			demandDue.Reset(demandInterval)
		}
		if next := l.tickAfter(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
	}
}

// tickAfter returns the interval of ticks that the present state needs.
func (l *loop) tickAfter() time.Duration {
	if l.working() {
		return tickInterval
	}
	return idleTickInterval
}

// working reports whether something waits for a time limit of less than
// idleTickInterval.
func (l *loop) working() bool {
	if len(l.waiters) > 0 || l.demandDirty || l.takeover.moving() || l.outbox.pending() || l.acks.pending() {
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

// drain applies events that already wait, so that grants are computed for a
// batch and not for each event.
func (l *loop) drain() {
	for range loopBatch {
		select {
		case e := <-l.events:
			e.apply(l)
		default:
			return
		}
	}
}

// tick lets time limits take effect.
func (l *loop) tick() {
	now := l.now()
	if due, ok := l.table.Next(); ok && !due.After(now) {
		l.applyShard(l.table.Tick(now))
	}
	l.tickPools(now)
	if l.demand.stated() {
		// Own pools may have gained room since the demand was divided.
		l.demandDirty = true
	}
	l.outbox.retry(now)
	l.acks.flush(now)
	l.requestStops(l.stops.retry(now, l.takeover.settles))
	l.dispatches.resolve(now)
	l.takeover.tick(now)
	l.compaction.due(l)
	l.refreshCapacity(now)
	l.updateReady(now)
}

// tickPools ticks the pools with demand, and now and then all.
func (l *loop) tickPools(now time.Time) {
	all := now.Sub(l.poolsAt) >= idleTickInterval-tickInterval
	if all {
		l.poolsAt = now
	}
	for _, p := range l.pools {
		if all || p.hasDemand() {
			l.applyPool(p, p.pool.Tick(now))
		}
	}
}

// settle sends what the batch of events has changed.
func (l *loop) settle() {
	l.demand.flush(l)
	l.schedulePools()
	l.demand.flush(l)
}

// post hands an event to the loop. It blocks while the queue is full and gives
// up when the process ends.
func (n *Node) post(e event) {
	select {
	case n.loop.events <- e:
	case <-n.done:
	}
}

// ask posts an event and waits for its result.
func ask[T any](ctx context.Context, n *Node, build func(result chan<- T) event) (T, error) {
	result := make(chan T, 1)
	var zero T
	select {
	case n.loop.events <- build(result):
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
