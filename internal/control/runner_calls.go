package control

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/candidacy"
	"github.com/agateyard/agateyard/internal/relay"
	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// directRunnerShare: up to 1/directRunnerShare of the descriptor limit in runners, the owner calls all of them itself.
	// Each takes a connection for its poll and a few for other calls.
	directRunnerShare = 8
	// relayMargin is how much longer than the call to the runner the call to the relaying process may take.
	relayMargin = 250 * time.Millisecond
	// pauseTolerance is how much later than its timeout a call may end before this process counts as paused.
	pauseTolerance = 300 * time.Millisecond
)

// errRelay is the error of a call that failed because of the relaying process. The runner may have received it.
var errRelay = errors.New("the relaying process failed")

// runnerCalls sends the owner's calls to the runners: directly, or through other processes if there are many runners.
// Only the event loop uses it; the calls themselves run in goroutines.
type runnerCalls struct {
	o         *ownership
	table     *relay.Table
	relays    map[string]*relayState // by address
	directMax int                    // number of runners up to which the descriptors allow direct calls; 0: no limit
	mode      relay.Mode
	relaying  bool
}

// relayState is a process that may relay calls.
type relayState struct {
	ctx       context.Context // done when the process no longer pings
	cancel    context.CancelFunc
	repliedAt time.Duration // last reply to a relayed call
}

// route is how a call reaches a runner.
type route struct {
	address string      // of the relaying process
	relay   *relayState // nil: the owner calls the runner itself
}

func newRunnerCalls(o *ownership) *runnerCalls {
	return &runnerCalls{
		o: o, table: relay.NewTable(), relays: map[string]*relayState{}, directMax: o.n.opt.DescriptorLimit / directRunnerShare,
	}
}

// update takes the processes that ping this owner as relays if direct calls would take too much of its descriptors, processor
// or link.
func (c *runnerCalls) update(runners int) {
	share := 0.0
	if runners > 0 { // otherwise a fleet of a usual size would be assumed
		load := candidacy.Load{Runners: runners, StartsPerSecond: c.o.n.view.ownerLoad().StartsPerSecond}
		share = candidacy.DirectCallShare(c.o.n.self().candidate().Machine, load)
	}
	if relaying := c.mode.Update(share, runners, c.directMax); relaying != c.relaying {
		c.relaying = relaying
		c.o.n.dep.Log.Log("relaying", map[string]any{"on": relaying, "runners": runners, "direct_max": c.directMax, "direct_share": share})
	}
	var processes []relay.Process
	if c.relaying {
		processes = c.o.relayCandidates()
	}
	for _, address := range c.table.SetProcesses(processes) {
		c.relays[address].cancel() // its calls fail now and are repeated by another route
		delete(c.relays, address)
		c.o.n.dep.Log.Log("relay-lost", map[string]any{"relay": address})
	}
	for _, p := range processes {
		if c.relays[p.Address] == nil {
			ctx, cancel := context.WithCancel(c.o.ctx)
			c.relays[p.Address] = &relayState{ctx: ctx, cancel: cancel}
		}
	}
}

// route chooses the route of the next call to a runner.
func (c *runnerCalls) route(ref scheduler.RunnerRef) route {
	if !c.relaying {
		return route{}
	}
	address, ok := c.table.Assign(ref.ID, c.o.sched.RunnerZone(ref.ID), c.o.loopTime)
	if !ok {
		return route{}
	}
	return route{address: address, relay: c.relays[address]}
}

// release drops the assignment of a runner that is no longer polled.
func (c *runnerCalls) release(id string) { c.table.Release(id) }

// send makes a call in a goroutine and passes its reply to the event loop.
func (c *runnerCalls) send(args RelayArgs, done func(RelayReply, error)) {
	rt := c.route(args.Runner)
	sent := c.o.loopTime
	args.preparedAt = sent
	tracked := c.o.pace.Sent(args.Runner.ID, args.wait(), sent)
	go func() {
		reply, err := c.o.callRunner(rt, args)
		ended := c.o.n.clock.Now()
		reply.endedAt = ended
		c.o.post(func() {
			c.o.pace.Lagged(c.o.loopTime-ended, c.o.loopTime)
			c.o.pace.Done(tracked, c.o.loopTime)
			c.recordReply(rt, sent, err)
			done(reply, err)
		})
	}()
}

// recordReply tracks the health of the relaying process.
func (c *runnerCalls) recordReply(rt route, sent time.Duration, err error) {
	if rt.relay == nil {
		return
	}
	if !errors.Is(err, errRelay) {
		rt.relay.repliedAt = c.o.loopTime
		return
	}
	if c.relays[rt.address] != rt.relay {
		return // it is gone already
	}
	c.table.Failed(rt.address, c.o.loopTime)
	c.o.n.dep.Log.Log("relay-failed", map[string]any{"relay": rt.address, "error": err.Error()})
	if rt.relay.repliedAt < sent {
		c.o.n.peers.get(rt.address).disconnect(nil) // nothing has come back since: the connection may be dead
	}
}

// callRunner makes one call. It is made directly if the relaying process is certain not to have received it. An error that
// wraps errRelay or that LocalFailure reports says nothing about the runner.
func (o *ownership) callRunner(rt route, args RelayArgs) (RelayReply, error) {
	began := o.n.clock.Now()
	limit := args.Within
	var reply RelayReply
	var err error
	if rt.relay == nil {
		reply, err = o.callDirectly(args)
	} else {
		limit += relayMargin
		reply, err = o.callRelay(rt, args)
		if errors.Is(err, errNotConnected) {
			if !LocalFailure(err) {
				o.post(func() { o.calls.table.Failed(rt.address, o.loopTime) })
			}
			reply, err = o.callDirectly(args)
		}
	}
	if errors.Is(err, context.DeadlineExceeded) && o.n.clock.Now()-began > limit+pauseTolerance && args.Stop == nil {
		return reply, errors.Join(errPaused, err)
	}
	return reply, err
}

func (o *ownership) callDirectly(args RelayArgs) (RelayReply, error) {
	ctx, cancel := context.WithTimeout(o.ctx, args.Within)
	defer cancel()
	return sendToRunner(ctx, o.n.dep.Runners, args)
}

func (o *ownership) callRelay(rt route, args RelayArgs) (RelayReply, error) {
	ctx, cancel := context.WithTimeout(rt.relay.ctx, args.Within+relayMargin)
	defer cancel()
	reply := RelayReply{Outcome: scheduler.StartUnknown}
	err := call(ctx, o.n.peers.get(rt.address), "Relay", args, &reply)
	switch {
	case errors.Is(err, errNotConnected):
		return reply, err
	case err != nil:
		return RelayReply{Outcome: scheduler.StartUnknown}, errors.Join(errRelay, err)
	case reply.Local:
		return reply, errors.Join(errRelay, oops.Errorf("%s", reply.Error))
	case reply.Fenced:
		return reply, ErrFenced
	case reply.Error != "":
		err = oops.Errorf("%s", reply.Error)
		if reply.TimedOut {
			err = errors.Join(context.DeadlineExceeded, err)
		}
		if reply.Closed {
			err = errors.Join(errClosedByRunner, err)
		}
		if reply.Replaced {
			err = errors.Join(ErrReplaced, err)
		}
		if reply.OtherIncarnation {
			err = errors.Join(ErrOtherIncarnation, err)
		}
		return reply, err
	}
	if args.Poll != nil {
		o.n.dep.Runners.RecordClock(args.Runner, reply.Report.Incarnation, reply.Report.Clock)
	}
	return reply, nil
}
