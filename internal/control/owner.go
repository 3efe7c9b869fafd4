package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/candidacy"
	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/pacing"
	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// tickInterval is how often tick does the work that is due by time alone.
	tickInterval = 50 * time.Millisecond
	// statsInterval is how often the load is logged and its metrics are updated.
	statsInterval = time.Second
	// maxLoopPause is the longest pause of the event loop that is tolerated. After a longer one the claim is read again
	// before any run is started or stopped, because the machine may have been suspended while another process took over.
	maxLoopPause = 700 * time.Millisecond
	// OwnerLease is how long an owner that was replaced may still send requests to runners. It exceeds unconfirmedLimit plus
	// a tick.
	OwnerLease = 3 * time.Second
	// unconfirmedLimit is how long an owner continues without contact to the store and to most of its peers.
	unconfirmedLimit = 2500 * time.Millisecond
	// eventQueueSize is the number of events that may wait for the event loop.
	eventQueueSize = 4096
)

// ownership is one term in which this process is the owner. Only the goroutine of its event loop uses the scheduler and
// the fields below it up to mu; other goroutines post events to the loop.
type ownership struct {
	n      *Node
	info   OwnerInfo
	ctx    context.Context
	cancel context.CancelFunc
	events chan func()
	ended  chan struct{}
	reason string
	sched  *scheduler.Scheduler
	writer *recordWriter
	poller *runnerPoller
	calls  *runnerCalls
	fences *runnerFences

	usedRunners    *usedRunners // the runners that owners have used, as stored
	lastStats      time.Duration
	handover       *candidacy.Handover
	pace           *pacing.Calls
	startLimit     *pacing.StartLimit
	overloaded     bool // as last logged
	startRate      candidacy.StartRate
	loopTime       time.Duration // when the event loop last ran
	lastPass       time.Duration // start of the last placement pass
	passInterval   pacing.PassInterval
	loopLoad       loopLoad
	unreadable     map[string]bool                         // jobs whose records can't be decoded or restored; they are left as they are
	restore        func(*scheduler.Scheduler, *job.Record) // Scheduler.Restore; a test replaces it
	paused         bool                                    // the claim is being read again
	checkingClaim  bool                                    // a regular read of the claim is in flight
	nextClaimCheck time.Duration                           // when to read the claim next
	confirmedAt    time.Duration                           // start of the last read that found the claim in the store
	removeAt       map[string]time.Duration                // when to remove runners whose entries were deleted, unless these come back

	startedAt time.Duration // of the term
	progress  loadProgress  // of the load of the durable state
	lifeSigns sync.Map      // addresses to which a sign of life is being sent
	queries   atomic.Int64  // in the queue of the event loop, also abandoned ones

	mu        sync.Mutex              // guards the fields below it, and reason
	lastPings map[string]receivedPing // by incarnation, of processes that regard this one as the owner
	pending   map[string]int          // jobs that have not started, by queue; nil before the durable state is loaded
	pendingAt time.Duration           // when they were counted
}

// becomeOwner starts a term of ownership unless this process has already started that term or a later one.
func (n *Node) becomeOwner(info OwnerInfo) {
	n.beginMu.Lock()
	defer n.beginMu.Unlock()
	if n.begunTerm.Load() >= info.Term {
		return
	}
	o := n.newOwnership(info)
	n.ownership.Store(o)
	n.begunTerm.Store(info.Term)
	n.dep.Metrics.Owner.Set(1)
	if newest, _ := n.view.currentOwner(); newest.Term > info.Term {
		o.stepDown("a newer owner claimed ownership before this one started")
	}
	go o.run()
}

// newOwnership returns an ownership whose event loop has not been started.
func (n *Node) newOwnership(info OwnerInfo) *ownership {
	ctx, cancel := context.WithCancel(context.Background())
	o := &ownership{
		n: n, info: info, ctx: ctx, cancel: cancel,
		events: make(chan func(), eventQueueSize), ended: make(chan struct{}),
		lastPings: map[string]receivedPing{}, removeAt: map[string]time.Duration{}, unreadable: map[string]bool{},
	}
	now := n.clock.Now()
	o.startedAt, o.loopTime, o.confirmedAt = now, now, now
	o.handover = candidacy.NewHandover(now)
	o.pace = pacing.NewCalls()
	o.startLimit = pacing.NewStartLimit(candidacy.StartsPerSecond(n.self().candidate().Machine))
	o.restore = (*scheduler.Scheduler).Restore
	o.sched = o.newScheduler()
	o.writer = newRecordWriter(o)
	o.poller = newRunnerPoller(o)
	o.calls = newRunnerCalls(o)
	o.fences = newRunnerFences(info.Rev)
	o.usedRunners = newUsedRunners(o)
	return o
}

// newScheduler returns a scheduler without jobs and runners.
func (o *ownership) newScheduler() *scheduler.Scheduler {
	return scheduler.New(o.n.opt.Scheduler, o.info.Term, o.loopTime, o.n.clock.Wall())
}

// stepDown ends the ownership. A runner that has received a request of the next owner refuses late requests of this one.
func (o *ownership) stepDown(reason string) {
	o.mu.Lock()
	if o.reason == "" {
		o.reason = reason
	}
	o.mu.Unlock()
	o.cancel()
}

// claimLost reports whether a conflict shows that another process has claimed ownership; if so, this ownership ends.
func (o *ownership) claimLost(conflict *Conflict) bool {
	for _, item := range conflict.Current {
		if item.Key == ownerKey && item.Rev != o.info.Rev {
			o.n.applyOwnerItem(item)
			o.stepDown("another process has claimed ownership")
			return true
		}
	}
	return false
}

// post queues an event for the event loop. The event is dropped if the ownership has ended.
func (o *ownership) post(event func()) {
	select {
	case o.events <- event:
	case <-o.ctx.Done():
	}
}

func (o *ownership) run() {
	defer o.cleanUp()
	defer o.endOnPanic()
	if err := o.load(); err != nil {
		o.stepDown("load: " + err.Error())
		return
	}
	go o.n.keepRunning(o.ctx, "watch runners", func(context.Context) { o.watchRunners() })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	passTimer := time.NewTimer(time.Hour)
	defer passTimer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case event := <-o.events:
			o.processEvents(event)
		case <-ticker.C:
			o.processEvents(o.tick)
		case <-passTimer.C:
			o.processEvents(func() {})
		}
		if o.sched.NeedsPass() && !o.paused {
			passTimer.Reset(o.passInterval.Interval())
		}
	}
}

// processEvents handles an event and those queued behind it, then runs a placement pass if one is due and applies the
// effects.
func (o *ownership) processEvents(event func()) {
	const batch = 64 // events between two reads of the clock
	now := o.n.clock.Now()
	if now-o.loopTime > maxLoopPause && !o.paused {
		o.recheckClaim(now - o.loopTime)
	}
	defer func() { o.loopLoad.ran(o.n.clock.Now() - now) }()
	o.pace.Lagged(now-o.loopTime-tickInterval, now)
	o.loopTime = now
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
	if late := o.n.clock.Now() - now; late > maxLoopPause && !o.paused {
		o.recheckClaim(late) // the pause came after the check above
	}
	if o.paused {
		return
	}
	o.sched.SetStartBudget(o.startLimit.Budget())
	if o.sched.NeedsPass() && now-o.lastPass >= o.passInterval.Interval() {
		o.lastPass = now
		o.sched.Pass()
		took := o.n.clock.Now() - now
		o.passInterval.Passed(took)
		o.loopLoad.passes += took
		if took > maxLoopPause {
			o.recheckClaim(took)
			return
		}
	}
	for _, effect := range o.sched.Effects() {
		o.apply(effect)
	}
	o.writer.flush()
}

func (o *ownership) tick() {
	o.sched.Tick()
	o.sched.Dispatcher().SetMachines(o.adviceMachines())
	o.removeDue()
	o.calls.update(o.sched.RunnerCount())
	o.poller.pollDue()
	o.usedRunners.write()
	o.writer.deleteExpired()
	o.checkClaim()
	o.checkConfirmed()
	o.publishPending()
	o.publishLoad()
	o.logOverload()
	o.yieldToFitter()
	if o.loopTime-o.lastStats >= statsInterval {
		o.lastStats = o.loopTime
		o.reviewPings()
		stats := o.sched.Stats()
		o.n.dep.Metrics.setStats(stats)
		coreWait, adviceWait := o.sched.PredictedWaits()
		o.n.dep.Log.Log("load", logrus.Fields{
			"jobs": stats.ActiveJobs, "open_stages": stats.OpenStages, "waiting_tasks": stats.WaitingTasks,
			"runs": stats.Runs, "runners": stats.Runners, "usable": stats.UsableRunners, "set_apart": stats.IsolatedRunners,
			"used_cpu_milli": stats.UsedCPU, "cpu_milli": stats.CapacityCPU, "advice_backlog_ms": o.sched.Dispatcher().Backlog().Milliseconds(),
			"loop_ms": o.loopLoad.busy.Milliseconds(), "longest_ms": o.loopLoad.longest.Milliseconds(), "pass_ms": o.loopLoad.passes.Milliseconds(),
			"start_limit": o.startLimit.Limit(), "core_wait_ms": coreWait.Milliseconds(), "advice_wait_ms": adviceWait.Milliseconds(),
		})
		o.n.dep.Metrics.loopBusy.Observe(o.loopLoad.longest.Seconds())
		o.loopLoad = loopLoad{}
	}
}

// publishLoad makes the load known to this process and, by the replies to their pings, to the others. They compare their
// machines with it when they have to replace this owner.
func (o *ownership) publishLoad() {
	rate := o.startRate.PerSecond(o.loopTime)
	if runners := o.sched.RunnerCount(); runners > 0 {
		o.n.view.setOwnerLoad(candidacy.Load{Runners: runners, StartsPerSecond: rate})
	}
}

// report passes a runner's report to the scheduler. If the runner has started again, later calls get a higher fence.
func (o *ownership) report(rep scheduler.Report) {
	if o.sched.Report(rep) {
		o.raiseFence(rep.Runner)
	}
}

// unreachable tells the scheduler that contact with a runner is lost. The runner may start again at any time from now on, so later
// calls get a higher fence: the first one that arrives keeps a new incarnation from carrying out calls for the one before.
func (o *ownership) unreachable(ref scheduler.RunnerRef, lost scheduler.ContactLoss) {
	o.sched.RunnerUnreachable(ref, lost)
	o.raiseFence(ref.ID)
}

// raiseFence raises the fence of the calls to a runner, or has the claim read soon, which allows a higher one.
func (o *ownership) raiseFence(id string) {
	if !o.tryRaiseFence(id) {
		o.nextClaimCheck = min(o.nextClaimCheck, o.loopTime)
	}
}

func (o *ownership) tryRaiseFence(id string) bool {
	if !o.fences.raise(id) {
		return false
	}
	o.sched.FenceRaised(id)
	o.n.dep.Log.Log("fence-raised", logrus.Fields{"runner": id, "fence": o.fences.of(id)})
	return true
}

// logOverload logs when this owner reaches its limit and when it is below it again.
func (o *ownership) logOverload() {
	overloaded := o.pace.Overloaded(o.loopTime)
	if overloaded == o.overloaded {
		return
	}
	o.overloaded = overloaded
	o.n.dep.Log.Log("overloaded", logrus.Fields{
		"on": overloaded, "start_limit": o.startLimit.Limit(), "call_delay_ms": o.pace.Delay(o.loopTime).Milliseconds(),
	})
}

// publishPending makes the counts known. While the claim is read again after a pause, a successor may have accepted jobs that they
// don't hold.
func (o *ownership) publishPending() {
	if o.paused {
		return
	}
	pending := o.sched.Pending()
	o.mu.Lock()
	o.pending, o.pendingAt = pending, o.n.clock.Now()
	o.mu.Unlock()
}

// recheckClaim reads the claim again after a long pause of the event loop or a fenced request. Until the claim is
// confirmed, no effects of the scheduler are applied, so no run is started or stopped.
func (o *ownership) recheckClaim(gap time.Duration) {
	o.paused = true
	o.n.dep.Log.Log("paused", logrus.Fields{"gap_ms": gap.Milliseconds(), "term": o.info.Term})
	go func() {
		for o.ctx.Err() == nil {
			asked := o.n.clock.Now()
			ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
			item, found, err := o.n.dep.Store.Get(ctx, ownerKey)
			cancel()
			o.n.recordStoreCall("get", err)
			if err == nil && !found {
				o.stepDown("the claim is gone")
				return
			}
			if err == nil && item.Rev != o.info.Rev {
				o.n.applyOwnerItem(item)
				o.stepDown("replaced while it was paused")
				return
			}
			if err == nil {
				o.post(func() { o.paused, o.confirmedAt = false, max(o.confirmedAt, asked) })
				return
			}
			o.n.searchOwner(o.ctx) // a peer may know of a newer owner
			ctxtime.Sleep(o.ctx, storeRetry)
		}
	}()
}

// checkConfirmed steps down when neither the store nor a majority of the members has confirmed the ownership within
// unconfirmedLimit: another process may have replaced it.
func (o *ownership) checkConfirmed() {
	if o.loopTime-o.confirmedAt < unconfirmedLimit {
		return
	}
	if o.confirmedByMembers(func(p receivedPing) bool { return o.loopTime-p.at < unconfirmedLimit }) {
		return
	}
	o.stepDown("neither the store nor a majority of the members confirms the ownership")
}

// pendingJobs returns the number of jobs that have not started, by queue, and when the event loop counted them; nil before the durable
// state is loaded.
func (o *ownership) pendingJobs() (byQueue map[string]int, at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending, o.pendingAt
}

func (o *ownership) cleanUp() {
	o.cancel()
	o.writer.releaseWaiters()
	if o.progress.done.Load() {
		o.n.view.recordLoadedOwner(o.info.Term, o.n.clock.Now())
	}
	o.n.view.recordOwnerReply(o.n.clock.Now()) // it was the owner until now, which counts as contact with the owner
	o.n.ownership.CompareAndSwap(o, nil)
	o.n.dep.Metrics.Owner.Set(0)
	o.n.dep.Metrics.ConfigBehind.Set(0)
	o.n.dep.Metrics.setTenants(nil) // the next owner reports them
	o.mu.Lock()
	reason := o.reason
	o.mu.Unlock()
	loaded := o.progress.done.Load()
	o.n.dep.Metrics.termEnded(loaded)
	o.n.dep.Log.Log("ownership-ended", logrus.Fields{
		"term": o.info.Term, "reason": reason, "loaded": loaded, "held_ms": (o.n.clock.Now() - o.startedAt).Milliseconds(),
		"records": o.progress.records.Load(),
	})
	close(o.ended)
}
