package entry

import (
	"context"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/balance"
	"github.com/agateyard/agateyard/internal/model"
)

const (
	// demandInterval is the least time between two statements of demand, so
	// that messages grow with time and not with jobs.
	demandInterval = 2 * time.Millisecond
	// demandRefresh restates unchanged demand, against lost messages and stale
	// division over pools.
	demandRefresh = 250 * time.Millisecond
	demandTimeout = time.Second
)

// demandState is what the process has stated to pool owners.
type demandState struct {
	seq     uint64
	sentAt  time.Time
	pools   map[model.PoolID]bool // pools that hold a statement of ours
	senders map[string]*demandSender
}

func newDemandState() *demandState {
	return &demandState{pools: make(map[model.PoolID]bool), senders: make(map[string]*demandSender)}
}

// stated reports whether a pool holds a statement of demand of this process.
func (d *demandState) stated() bool { return len(d.pools) > 0 }

// flush states the demand anew when it has changed or is due.
func (d *demandState) flush(l *loop) {
	now := l.now()
	since := now.Sub(d.sentAt)
	due := l.demandDirty && since >= demandInterval
	if !due && since < demandRefresh {
		return
	}
	l.demandDirty = false
	d.sentAt = now
	d.send(l, d.divide(l, now))
}

// divide spreads the demand of the table over pools.
func (d *demandState) divide(l *loop, now time.Time) map[model.PoolID][]model.Demand {
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
		fitting := matching(summaries, template.PoolPrefix())
		if dem.Tasks > 1 && !balance.FitsOnePool(dem, fitting) {
			l.gangs.place(now, dem, fitting)
			continue
		}
		for pool, count := range l.askPools(template, dem, fitting, now) {
			part := dem
			part.Count = count
			out[pool] = append(out[pool], part)
		}
	}
	return out
}

// askPools returns how many grants to ask of each pool.
func (l *loop) askPools(t model.Template, d model.Demand, fitting []model.PoolSummary, now time.Time) map[model.PoolID]int {
	if t.Kind == model.KindService {
		return balance.Spread(d, fitting, l.rnd)
	}
	out := balance.Split(d, fitting, l.n.self.Zone, now, l.rnd)
	if d.Retried > 0 {
		balance.AddRetryPools(out, d, fitting, l.rnd)
	}
	return out
}

func matching(summaries []model.PoolSummary, prefix string) []model.PoolSummary {
	var out []model.PoolSummary
	for _, s := range summaries {
		if strings.HasPrefix(string(s.Pool), prefix) {
			out = append(out, s)
		}
	}
	return out
}

// send states the division to the pool owners. A pool that had a statement and
// has none now gets an empty one.
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
		if _, still := byPool[id]; !still {
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
		d.sender(l, owner).offer(DemandArgs{Seq: d.seq, Pools: pools})
	}
}

// acceptDemand records demand at the own pools.
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

// forget ends the senders to processes that are no members any more.
func (d *demandState) forget(v model.View) {
	for owner, s := range d.senders {
		if _, ok := v.Find(owner); !ok {
			s.stop()
			delete(d.senders, owner)
		}
	}
}

// demandSender states demand to one pool owner, one message in flight. A newer
// statement replaces one that waits, pool by pool.
type demandSender struct {
	n      *Node
	to     string
	offers chan DemandArgs
	cancel context.CancelFunc
}

func newDemandSender(n *Node, to string) *demandSender {
	ctx, cancel := context.WithCancel(n.ctx)
	s := &demandSender{n: n, to: to, offers: make(chan DemandArgs, 1), cancel: cancel}
	go s.run(ctx)
	return s
}

// offer replaces the statement that waits. Only the loop calls it.
func (s *demandSender) offer(args DemandArgs) {
	select {
	case waiting := <-s.offers:
		args.Pools = mergePools(waiting.Pools, args.Pools)
	default:
	}
	s.offers <- args
}

// mergePools adds to newer the pools that only older states.
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
		case args := <-s.offers:
			s.send(ctx, args)
		}
	}
}

func (s *demandSender) send(ctx context.Context, args DemandArgs) {
	args.Header = s.n.header()
	s.n.notify(ctx, s.to, "Pool.Demand", args)
}

func (s *demandSender) stop() { s.cancel() }
