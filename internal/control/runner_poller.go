package control

import (
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/pacing"
	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// pollWait is how long a regular poll waits at the runner for a run to end. It also renews the lease of the runner's
	// runs if the runner answered the regular poll before it; otherwise it neither waits nor renews.
	pollWait = 1500 * time.Millisecond
	// pollTimeoutMargin is how much longer than its wait a poll may take before it times out.
	pollTimeoutMargin = 600 * time.Millisecond
	// maxPollTimeoutMargin is the margin for a runner whose polls have timed out. A runner that answers later than the usual
	// margin would otherwise never get its leases renewed, and lose its runs.
	maxPollTimeoutMargin = 1500 * time.Millisecond
	// failedPollRetry is the pause before a poll is repeated that has failed.
	failedPollRetry = 200 * time.Millisecond
	// unacknowledgedPollPause is the pause between polls while reported run ends can't be acknowledged, since they are not
	// yet durable or the acknowledgements become stale on the way: the runner reports them again and answers without waiting.
	unacknowledgedPollPause = 150 * time.Millisecond
)

// runnerPoller keeps one regular poll of each runner in flight, except in the pauses after a failed poll and while reported
// run ends can't be acknowledged yet.
type runnerPoller struct {
	o      *ownership
	states map[string]*pollState
}

type pollState struct {
	ref          scheduler.RunnerRef
	inFlight     bool
	nextAt       time.Duration
	last         pollAnswer
	acknowledged int64 // highest number that a poll was to acknowledge
	unsure       bool  // the last poll timed out without blame
	dropped      int   // consecutive polls whose acknowledgement was dropped on the way
	answered     bool  // the last poll was answered
	answeredAt   time.Duration
	firstAt      time.Duration // first poll
	margin       time.Duration // how much longer than its wait the next poll may take
}

// pollAnswer is what a runner's last answer says about its run ends.
type pollAnswer struct {
	incarnation int64
	lowest      int64 // lowest and highest number of a listed end; 0 if none is listed
	highest     int64
	limit       AcknowledgeLimit
}

// record records an answer, unless it is from an earlier incarnation than another.
func (st *pollState) record(reply *RelayReply) {
	rep := &reply.Report
	if rep.Incarnation < st.last.incarnation {
		return
	}
	if rep.Incarnation > st.last.incarnation {
		st.acknowledged, st.dropped = 0, 0
	}
	st.last = pollAnswer{incarnation: rep.Incarnation, limit: reply.Limit}
	for i, end := range rep.Ended {
		st.last.highest = max(st.last.highest, end.Seq)
		if i == 0 || end.Seq < st.last.lowest {
			st.last.lowest = end.Seq
		}
	}
}

// adjustMargin widens the margin after a poll that has timed out, and narrows it after one that was answered well within
// the usual margin.
func (st *pollState) adjustMargin(req PollRequest, within, took time.Duration, err error) {
	switch {
	case err != nil && took >= within: // timed out, also at a relay
		st.margin = maxPollTimeoutMargin
	case err == nil && took < req.Wait+pollTimeoutMargin/2:
		st.margin = pollTimeoutMargin
	}
}

func newRunnerPoller(o *ownership) *runnerPoller {
	return &runnerPoller{o: o, states: map[string]*pollState{}}
}

// pollDue starts the polls that are due.
func (p *runnerPoller) pollDue() {
	toPoll := p.o.sched.RunnersToPoll()
	present := make(map[string]bool, len(toPoll))
	for _, ref := range toPoll {
		present[ref.ID] = true
		st := p.states[ref.ID]
		if st == nil || st.ref.Addr != ref.Addr {
			st = &pollState{firstAt: p.o.loopTime, margin: pollTimeoutMargin}
			p.states[ref.ID] = st
		}
		st.ref = ref
		if !st.inFlight && p.o.loopTime >= st.nextAt {
			p.poll(st)
		}
	}
	for id := range p.states {
		if !present[id] {
			delete(p.states, id)
			p.o.calls.release(id)
		}
	}
}

// sendAcknowledgements polls at once the runners with reported run ends that have become durable.
func (p *runnerPoller) sendAcknowledgements() {
	for _, st := range p.states {
		if !st.inFlight && st.answered && p.acknowledgeable(st) > st.acknowledged {
			p.poll(st)
		}
	}
}

// acknowledgeable returns up to which number the ends in a runner's last answer may be acknowledged; 0 if none may. An
// acknowledgement follows an answer that lists the end, since only such an answer shows that the incarnation still exists.
func (p *runnerPoller) acknowledgeable(st *pollState) int64 {
	durable := p.o.sched.Acknowledged(st.ref.ID)
	if p.o.sched.Incarnation(st.ref.ID) != st.last.incarnation || durable < st.last.lowest {
		return 0
	}
	if st.last.limit.Process == "" {
		return 0 // answered through a process of an earlier build, which observes no limits
	}
	return min(durable, st.last.highest)
}

// stale reports whether the ends in a runner's last answer can't be acknowledged any more. Whether an answer to another
// process is stale is not known here; that process drops the acknowledgement.
func (p *runnerPoller) stale(st *pollState) bool {
	limit := st.last.limit
	return limit.Process == p.o.n.incarnation && limit.By < p.o.loopTime
}

func (p *runnerPoller) poll(st *pollState) {
	o := p.o
	if o.paused { // a replaced owner must renew no lease, as its successor counts on their expiry
		st.nextAt = o.loopTime + failedPollRetry
		return
	}
	req := PollRequest{Fence: o.info.Rev, Wait: pollWait}
	wanted := int64(0)
	if st.answered {
		wanted = p.acknowledgeable(st)
		st.acknowledged = max(st.acknowledged, wanted)
		if !p.stale(st) {
			req.Acknowledged = wanted
		}
		req.LeaseEnd = o.n.dep.Runners.LeaseEnd(st.ref, o.n.opt.Scheduler.RunLease)
		o.sched.LeaseSent(st.ref.ID)
	} else {
		req.Wait = 0 // get the state first; no lease is renewed for a runner that may be unreachable
	}
	within := req.Wait + st.margin
	if st.unsure {
		within, req.Wait = st.margin, 0 // tell soon whether the runner answers
	}
	st.inFlight = true
	ref := st.ref
	sent := o.loopTime
	p.send(st, req, within, func(reply RelayReply, err error) {
		st.adjustMargin(req, within, o.loopTime-sent, err)
		st.unsure = timedOut(err) && p.maySucceed(st, sent)
		p.pollFinished(st, ref, wanted, reply, err)
	})
}

// pollNow sends an additional poll that doesn't wait for a run to end, if the runner answered its last regular poll.
func (p *runnerPoller) pollNow(ref scheduler.RunnerRef) {
	if st := p.states[ref.ID]; st != nil && st.answered {
		p.send(st, PollRequest{Fence: p.o.info.Rev}, st.margin, func(reply RelayReply, err error) {
			if err == nil { // an unreachable runner is reported by its regular polls
				p.o.sched.Report(reply.Report)
				st.record(&reply)
			}
		})
	}
}

// send polls a runner in the background and passes the reply to the event loop.
func (p *runnerPoller) send(st *pollState, req PollRequest, within time.Duration, done func(RelayReply, error)) {
	sent := p.o.loopTime
	args := RelayArgs{Runner: st.ref, Fence: req.Fence, Within: within, Poll: &req}
	if req.Acknowledged > 0 {
		args.Limit = st.last.limit
	}
	p.o.calls.send(args, func(reply RelayReply, err error) {
		reply.Report.RequestedAt = sent
		done(reply, err)
	})
}

func (p *runnerPoller) pollFinished(st *pollState, ref scheduler.RunnerRef, wanted int64, reply RelayReply, err error) {
	st.inFlight = false
	if errors.Is(err, ErrFenced) {
		p.o.handleFenced("look")
		st.nextAt = p.o.loopTime + failedPollRetry
		return
	}
	if errors.Is(err, errRelay) && p.states[ref.ID] == st {
		p.poll(st) // by another route
		return
	}
	if LocalFailure(err) || st.unsure {
		st.nextAt = p.o.loopTime + failedPollRetry
		return
	}
	if err != nil {
		st.answered = false
		st.nextAt = p.o.loopTime + failedPollRetry
		p.o.sched.RunnerUnreachable(ref.ID, ref.Addr, err.Error())
		return
	}
	st.answered = true
	st.answeredAt = p.o.loopTime
	p.o.sched.Report(reply.Report)
	st.record(&reply)
	st.nextAt = p.o.loopTime + p.pause(st, wanted, len(reply.Report.Running) > 0)
	if p.states[ref.ID] == st && st.nextAt <= p.o.loopTime {
		p.poll(st)
	}
}

// pause returns the pause after an answered poll that was to acknowledge ends up to the number wanted.
func (p *runnerPoller) pause(st *pollState, wanted int64, hasRuns bool) time.Duration {
	if st.last.highest > 0 && st.last.lowest <= wanted {
		st.dropped++
	} else {
		st.dropped = 0
	}
	pause := pacing.PollPause(p.o.pace.Delay(p.o.loopTime), hasRuns)
	// An acknowledgement that was dropped is sent again at once, since the answer is new. If it is dropped again, a pause
	// follows, so that the runner isn't polled in a tight loop, and then another poll whose answer is acknowledged at once.
	retried := st.dropped > 0 && st.dropped%2 == 0
	switch {
	case p.acknowledgeable(st) > 0 && !retried:
		return 0
	case st.last.highest > 0:
		return max(pause, unacknowledgedPollPause)
	}
	return pause
}

// maySucceed reports whether a poll that timed out says nothing about the runner, because this process or its link was
// overloaded since the poll was sent: it may have reached the runner so late that the runner's wait outlasted the time-out.
// A runner that has been silent for longer than a lease has ended its runs, whatever the reason.
func (p *runnerPoller) maySucceed(st *pollState, sent time.Duration) bool {
	overloaded := p.o.overloadedAt >= sent || p.o.pace.Overloaded(p.o.loopTime)
	return overloaded && p.o.loopTime-max(st.answeredAt, st.firstAt) < p.o.n.opt.Scheduler.RunLease
}
