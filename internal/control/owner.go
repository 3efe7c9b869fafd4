package control

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// tickInterval is how often what is due by time alone is handled.
	tickInterval = 50 * time.Millisecond
	// statsInterval is how often the load is logged and its metrics are set.
	statsInterval = time.Second
	// passGap is the least time between two placement passes.
	passGap = 3 * time.Millisecond
	// passShare bounds the processor's share of placement passes: one in so many.
	passShare = 4
	// suspicionGap is the longest pause of the event loop after which the claim is read again before any order: the
	// machine may have been suspended while others took the work over.
	suspicionGap = 700 * time.Millisecond
	// OwnerLease bounds how long an owner that was replaced may still give orders: unconfirmedLimit, and a tick.
	OwnerLease = 3 * time.Second
	// yieldInterval is how often an owner looks for a far larger machine: each handover stops the work for a moment.
	yieldInterval = 2 * time.Second
	// unconfirmedLimit is how long an owner goes on without the store and without most of its peers.
	unconfirmedLimit = 2500 * time.Millisecond
)

// owner is one ownership of the work. One goroutine owns its state; others post events to it.
type owner struct {
	n      *Node
	info   OwnerInfo
	ctx    context.Context
	cancel context.CancelFunc
	events chan func()
	ended  chan struct{}
	reason string
	sched  *scheduler.Scheduler
	writer *recordWriter
	looks  *lookDesk

	fleet     *fleetRecord
	lastStats time.Duration
	yieldAt   time.Duration // when to look for a larger machine next
	seen      time.Duration // last turn of the loop
	lastRun   time.Duration // last placement pass
	passGap   time.Duration
	paused    bool                     // the claim is being read again
	delisting map[string]time.Duration // runners whose entries are gone, until when they may come back

	mu        sync.Mutex
	heardFrom map[string]heardPing // by incarnation, of processes that take this one for the owner
	pending   map[string]int
}

// becomeOwner starts an ownership.
func (n *Node) becomeOwner(info OwnerInfo) {
	n.beginning.Lock()
	defer n.beginning.Unlock()
	if n.begunTerm.Load() >= info.Term {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{
		n: n, info: info, ctx: ctx, cancel: cancel,
		events: make(chan func(), 4096), ended: make(chan struct{}),
		heardFrom: map[string]heardPing{}, delisting: map[string]time.Duration{},
	}
	now := n.clock.Now()
	o.seen = now
	o.yieldAt = now + yieldInterval
	o.sched = scheduler.New(n.opt.Scheduler, info.Term, now, n.clock.Wall())
	o.writer = newRecordWriter(o)
	o.looks = newLookDesk(o)
	o.fleet = newFleetRecord(o)
	n.owned.Store(o)
	n.begunTerm.Store(info.Term)
	n.dep.Metrics.Owner.Set(1)
	if newest, _ := n.view.ownerNow(); newest.Term > info.Term {
		o.stepDown("a newer owner claimed the work before this one began")
	}
	go o.run()
}

// stepDown ends the ownership. Its orders are fenced by the next owner's.
func (o *owner) stepDown(reason string) {
	o.mu.Lock()
	if o.reason == "" {
		o.reason = reason
	}
	o.mu.Unlock()
	o.cancel()
}

// claimPassedOn reports whether a conflict shows that another process owns the work, which ends this ownership.
func (o *owner) claimPassedOn(conflict *Conflict) bool {
	for _, item := range conflict.Current {
		if item.Key == ownerKey && item.Rev != o.info.Rev {
			o.n.ownerItem(item)
			o.stepDown("the claim has passed on")
			return true
		}
	}
	return false
}

// post hands an event to the loop; it is dropped when the ownership has ended.
func (o *owner) post(event func()) {
	select {
	case o.events <- event:
	case <-o.ctx.Done():
	}
}

func (o *owner) run() {
	defer o.end()
	if err := o.load(); err != nil {
		o.stepDown("load: " + err.Error())
		return
	}
	go o.followRunners()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	passTimer := time.NewTimer(time.Hour)
	defer passTimer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case event := <-o.events:
			o.turn(event)
		case <-ticker.C:
			o.turn(o.tick)
		case <-passTimer.C:
			o.turn(func() {})
		}
		if o.sched.NeedsPass() {
			passTimer.Reset(o.passGap)
		}
	}
}

// turn handles an event and those that wait behind it, then applies what follows from them.
func (o *owner) turn(event func()) {
	const batch = 64 // events between two looks at the clock
	now := o.n.clock.Now()
	if now-o.seen > suspicionGap && !o.paused {
		o.verify(now - o.seen)
	}
	o.seen = now
	o.sched.Advance(now, o.n.clock.Wall())
	event()
	for range batch {
		select {
		case next := <-o.events:
			next()
			continue
		default:
		}
		break
	}
	if o.paused {
		return
	}
	if o.sched.NeedsPass() && now-o.lastRun >= o.passGap {
		o.lastRun = now
		o.sched.Pass()
		o.passGap = max(passGap, passShare*(o.n.clock.Now()-now))
	}
	for _, effect := range o.sched.Effects() {
		o.apply(effect)
	}
	o.writer.flush()
}

func (o *owner) tick() {
	o.sched.Tick()
	o.sched.Dispatcher().SetMachines(o.adviceAddresses())
	o.delistDue()
	o.looks.schedule()
	o.fleet.write()
	o.writer.forget()
	o.checkConfirmed()
	o.publishPending()
	o.yieldToLarger()
	if o.seen-o.lastStats >= statsInterval {
		o.lastStats = o.seen
		stats := o.sched.Stats()
		o.n.dep.Metrics.setStats(stats)
		o.n.dep.Log.Log("load", logrus.Fields{
			"jobs": stats.ActiveJobs, "open_stages": stats.OpenStages, "waiting_tasks": stats.WaitingTasks,
			"runs": stats.Runs, "runners": stats.Runners, "usable": stats.UsableRunners,
			"used_cpu_milli": stats.UsedCPU, "cpu_milli": stats.CapacityCPU, "advice_backlog_ms": o.sched.Dispatcher().Backlog().Milliseconds(),
		})
	}
}

func (o *owner) publishPending() {
	pending := o.sched.Pending()
	o.mu.Lock()
	o.pending = pending
	o.mu.Unlock()
}

// verify reads the claim again after the process has stood still; until then no order is given.
func (o *owner) verify(gap time.Duration) {
	o.paused = true
	o.n.dep.Log.Log("paused", logrus.Fields{"gap_ms": gap.Milliseconds(), "term": o.info.Term})
	go func() {
		for o.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
			item, found, err := o.n.dep.Store.Get(ctx, ownerKey)
			cancel()
			o.n.noteStore("get", err)
			if err == nil && found && item.Rev != o.info.Rev {
				o.n.ownerItem(item)
				o.stepDown("replaced while it stood still")
				return
			}
			if err == nil {
				o.post(func() { o.paused = false })
				return
			}
			o.n.askAround(o.ctx) // a peer may know of a newer owner
			ctxtime.Sleep(o.ctx, storeRetry)
		}
	}()
}

// heardPing is the last ping of a process.
type heardPing struct {
	at      time.Duration
	address string
	leaving bool
}

// heard notes a ping of a member.
func (o *owner) heard(ping PingArgs, now time.Duration) {
	if ping.Owner.Term != o.info.Term {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heardFrom[ping.From] = heardPing{at: now, address: ping.Address, leaving: ping.Leaving}
}

// checkConfirmed steps down when neither the store nor most of the members have confirmed the ownership for long:
// they may have replaced it.
func (o *owner) checkConfirmed() {
	if o.n.health.answeredWithin(unconfirmedLimit, o.seen) {
		return
	}
	members := o.n.view.memberList()
	o.mu.Lock()
	heard := 1
	for _, m := range members {
		if ping, ok := o.heardFrom[m.Incarnation]; ok && o.seen-ping.at < unconfirmedLimit {
			heard++
		}
	}
	o.mu.Unlock()
	if 2*heard > len(members) {
		return
	}
	o.stepDown("neither the store nor most members confirm it")
}

// pendingNow returns the jobs that wait, by queue; nil before the durable state is loaded.
func (o *owner) pendingNow() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending
}

func (o *owner) end() {
	o.cancel()
	o.writer.abandon()
	o.n.view.pong(o.n.clock.Now()) // until now it was in contact with the owner, itself
	o.n.owned.CompareAndSwap(o, nil)
	o.n.dep.Metrics.Owner.Set(0)
	o.mu.Lock()
	reason := o.reason
	o.mu.Unlock()
	o.n.dep.Log.Log("ownership-ended", logrus.Fields{"term": o.info.Term, "reason": reason})
	close(o.ended)
}

// adviceAddresses returns the machines that may call the advice service, in a fixed order: this one and those whose
// process has pinged it lately, whether or not the store knows them.
func (o *owner) adviceAddresses() []string {
	out := []string{o.n.opt.Address}
	o.mu.Lock()
	for _, ping := range o.heardFrom {
		if !ping.leaving && o.seen-ping.at < ownerSilence && ping.address != o.n.opt.Address {
			out = append(out, ping.address)
		}
	}
	o.mu.Unlock()
	sort.Strings(out)
	return out
}
