package entry

import (
	"context"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/balance"
	"github.com/agateyard/agateyard/internal/model"
)

const (
	// demandInterval is the minimum time between two demand updates, so that the
	// message rate does not grow with the job rate.
	demandInterval = 2 * time.Millisecond
	// demandRefreshInterval is the time after which unchanged demand is sent
	// again, which covers lost messages and an outdated split over the pools.
	demandRefreshInterval = 250 * time.Millisecond
	demandTimeout         = time.Second
)

// demandState tracks the demand that this process has sent to pool owners.
type demandState struct {
	seq     uint64
	sentAt  time.Time
	pools   map[model.PoolID]bool // pools with demand of this process
	senders map[string]*demandSender
}

func newDemandState() *demandState {
	return &demandState{pools: make(map[model.PoolID]bool), senders: make(map[string]*demandSender)}
}

// hasOutstanding reports whether any pool has demand of this process.
func (d *demandState) hasOutstanding() bool { return len(d.pools) > 0 }

// flush sends the demand if it has changed or a refresh is due.
func (d *demandState) flush(l *loop) {
	now := l.now()
	since := now.Sub(d.sentAt)
	due := l.demandDirty && since >= demandInterval
	if !due && since < demandRefreshInterval {
		return
	}
	l.demandDirty = false
	d.sentAt = now
	d.send(l, d.splitByPool(l, now))
}

// splitByPool splits the demand of the shard table over the pools. A gang that no
// single pool can hold is passed to gangPlacer instead.
func (d *demandState) splitByPool(l *loop, now time.Time) map[model.PoolID][]model.Demand {
	demands := l.table.Demand(now)
	out := make(map[model.PoolID][]model.Demand)
	if len(demands) == 0 {
		return out
	}
	l.refreshSummaries()
	summaries := l.summaryOrder.list(l.summaries)
	for _, dem := range demands {
		template, ok := l.templates[dem.Template]
		if !ok {
			continue
		}
		fitting := summariesWithPrefix(summaries, template.PoolPrefix())
		if dem.Tasks > 1 && !balance.FitsOnePool(dem, fitting) {
			l.gangPlacer.place(now, dem, fitting)
			continue
		}
		for pool, count := range l.grantsPerPool(template, dem, fitting, now) {
			part := dem
			part.Count = count
			out[pool] = append(out[pool], part)
		}
	}
	return out
}

// grantsPerPool returns how many grants to request from each pool.
func (l *loop) grantsPerPool(t model.Template, d model.Demand, fitting []model.PoolSummary, now time.Time) map[model.PoolID]int {
	if t.Kind == model.KindService {
		return balance.Spread(d, fitting, l.rnd)
	}
	out := balance.Split(d, fitting, l.n.self.Zone, now, l.rnd)
	if d.Retried > 0 {
		balance.AddRetryPools(out, d, fitting, l.rnd)
	}
	return out
}

func summariesWithPrefix(summaries []model.PoolSummary, prefix string) []model.PoolSummary {
	var out []model.PoolSummary
	for _, s := range summaries {
		if strings.HasPrefix(string(s.Pool), prefix) {
			out = append(out, s)
		}
	}
	return out
}

// send sends the demand per pool to the pool owners. A pool that had demand and
// has none now gets an empty list.
func (d *demandState) send(l *loop, byPool map[model.PoolID][]model.Demand) {
	d.seq++
	byOwner := make(map[string][]PoolDemand)
	add := func(id model.PoolID, demands []model.Demand) {
		owner := l.view.PoolOwner(id)
		byOwner[owner] = append(byOwner[owner], PoolDemand{Pool: id, Demands: demands})
	}
	for id, demands := range byPool {
		add(id, demands)
	}
	for id := range d.pools {
		if _, listed := byPool[id]; !listed {
			add(id, nil)
		}
	}
	clear(d.pools)
	for id := range byPool {
		d.pools[id] = true
	}
	for owner, pools := range byOwner {
		if owner == l.n.self.Incarnation {
			l.acceptDemand(owner, d.seq, pools)
			continue
		}
		d.sender(l, owner).enqueue(DemandArgs{Seq: d.seq, Pools: pools})
	}
}

// acceptDemand records the demand of a shard owner at the local pools.
func (l *loop) acceptDemand(from string, seq uint64, pools []PoolDemand) {
	now := l.now()
	for _, pd := range pools {
		p, ok := l.pools[pd.Pool]
		if !ok {
			continue
		}
		p.pool.SetDemand(now, from, seq, pd.Demands)
		if len(pd.Demands) > 0 {
			p.demand[from] = true
		} else {
			delete(p.demand, from)
		}
		p.dirty = true
	}
}

func (d *demandState) sender(l *loop, owner string) *demandSender {
	s, ok := d.senders[owner]
	if !ok {
		s = newDemandSender(l.n, owner)
		d.senders[owner] = s
	}
	return s
}

// stopSenders stops the senders to processes that are no longer members.
func (d *demandState) stopSenders(v model.View) {
	for owner, s := range d.senders {
		if _, ok := v.Find(owner); !ok {
			s.stop()
			delete(d.senders, owner)
		}
	}
}

// demandSender sends demand to one pool owner, with one message in flight. Newer
// demand replaces pending demand for the same pool.
type demandSender struct {
	n       *Node
	to      string
	pending chan DemandArgs
	cancel  context.CancelFunc
}

func newDemandSender(n *Node, to string) *demandSender {
	ctx, cancel := context.WithCancel(n.ctx)
	s := &demandSender{n: n, to: to, pending: make(chan DemandArgs, 1), cancel: cancel}
	n.start("demand sender", func() { s.run(ctx) })
	return s
}

// enqueue merges the message into the pending one. It must be called only from
// the loop.
func (s *demandSender) enqueue(args DemandArgs) {
	select {
	case waiting := <-s.pending:
		args.Pools = mergePools(waiting.Pools, args.Pools)
	default:
	}
	s.pending <- args
}

// mergePools appends to newer the pools that only older contains.
func mergePools(older, newer []PoolDemand) []PoolDemand {
	known := make(map[model.PoolID]bool, len(newer))
	for _, p := range newer {
		known[p.Pool] = true
	}
	for _, p := range older {
		if !known[p.Pool] {
			newer = append(newer, p)
		}
	}
	return newer
}

func (s *demandSender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case args := <-s.pending:
			s.send(ctx, args)
		}
	}
}

// send sends one message. If it is lost, the next refresh sends the demand again,
// except for empty lists: the outdated demand then ends when its grants are returned
// as unused.
func (s *demandSender) send(ctx context.Context, args DemandArgs) {
	args.Header = s.n.header()
	s.n.notify(ctx, s.to, "Pool.Demand", args)
}

func (s *demandSender) stop() { s.cancel() }
