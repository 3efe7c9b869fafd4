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
	// silentPollRetry is the same for a runner that has not answered for a lease: it has no runs any more, and if it comes back
	// its entry changes.
	silentPollRetry = time.Second
	// recordingPause is how often a runner is polled that has answered and is being recorded.
	recordingPause = 100 * time.Millisecond
	// replacedPollRetry is the pause before a runner is polled again at whose address another one answers.
	replacedPollRetry = time.Second
	// acknowledgeWindow is how long after an answered poll the ends of runs may be acknowledged. Their numbers restart with
	// each incarnation of a runner. A new incarnation under the same identifier may start sooner than that; the client of the
	// runners sends acknowledgements only on connections that lead to the incarnation that has listed the ends.
	acknowledgeWindow = time.Second
	// unacknowledgedPollPause is the pause between polls while reported run ends are not yet durable and so can't be
	// acknowledged, or while acknowledgements don't arrive: the runner reports the ends again and answers without waiting.
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
	lastReported int64 // highest number of a run end that the runner has reported
	acknowledged int64 // highest number that the last poll has acknowledged
	omitted      bool  // the last poll was sent without its acknowledgement, on a new connection
	bare         bool  // the last poll was sent without its lease, on a new connection
	answered     bool  // the last poll was answered
	answeredAt   time.Duration
	firstAt      time.Duration // first poll
	recheck      bool          // the last poll timed out, but this process was overloaded meanwhile
	margin       time.Duration // how much longer than its wait the next poll may take
}

// adjustMargin widens the margin after a poll that has timed out, and narrows it after one that was answered well within
// the usual margin.
func (st *pollState) adjustMargin(req PollRequest, took time.Duration, err error) {
	switch {
	case err != nil && took >= req.Wait+st.margin: // timed out, also at a relay
		st.margin = maxPollTimeoutMargin
	case err == nil && took < req.Wait+pollTimeoutMargin/2:
		st.margin = pollTimeoutMargin
	}
}

// setRef sets the runner as the scheduler knows it. The run ends of each incarnation have numbers of their own.
func (st *pollState) setRef(ref scheduler.RunnerRef) {
	if st.ref.Incarnation != ref.Incarnation {
		st.lastReported, st.acknowledged = 0, 0
	}
	st.ref = ref
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
		st.setRef(ref)
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
		if !st.inFlight && st.answered && p.o.sched.Acknowledged(st.ref.ID) > st.acknowledged {
			p.poll(st)
		}
	}
}

func (p *runnerPoller) poll(st *pollState) {
	o := p.o
	if o.paused { // a replaced owner must renew no lease, as its successor counts on their expiry
		st.nextAt = o.loopTime + failedPollRetry
		return
	}
	req := PollRequest{Fence: o.fences.of(st.ref.ID), Wait: pollWait, Identify: st.bare}
	if st.answered && o.loopTime-st.answeredAt < acknowledgeWindow && !o.n.pauses.check(o.n.clock.Now()) {
		req.Acknowledged = o.sched.Acknowledged(st.ref.ID)
	}
	if st.answered && !st.recheck {
		req.LeaseEnd = o.n.dep.Runners.LeaseEnd(st.ref, o.n.opt.Scheduler.RunLease)
		o.sched.LeaseSent(st.ref.ID)
	} else {
		req.Wait = 0 // get the state first; no lease is renewed for a runner that may be unreachable
	}
	st.inFlight = true
	st.acknowledged = req.Acknowledged
	ref := st.ref
	sent := o.loopTime
	p.send(ref, req, st.margin, func(reply RelayReply, err error) {
		st.adjustMargin(req, o.loopTime-sent, err)
		p.pollFinished(st, ref, req, sent, reply, err)
	})
}

// pollSoon ends the pause before the next poll of a runner.
func (p *runnerPoller) pollSoon(id string) {
	if st := p.states[id]; st != nil {
		st.nextAt = min(st.nextAt, p.o.loopTime)
	}
}

// pollNow sends an additional poll that doesn't wait for a run to end, if the runner answered its last regular poll.
func (p *runnerPoller) pollNow(ref scheduler.RunnerRef) {
	if st := p.states[ref.ID]; st != nil && st.answered {
		p.send(st.ref, PollRequest{Fence: p.o.fences.of(ref.ID)}, st.margin, func(reply RelayReply, err error) {
			if err == nil { // an unreachable runner is reported by its regular polls
				p.o.report(reply.Report)
			}
		})
	}
}

// send polls a runner in the background and passes the reply to the event loop.
func (p *runnerPoller) send(ref scheduler.RunnerRef, req PollRequest, margin time.Duration, done func(RelayReply, error)) {
	sent, generation := p.o.loopTime, p.o.sched.FenceGeneration(ref.ID)
	args := RelayArgs{Runner: ref, Fence: p.o.info.Rev, Within: req.Wait + margin, Poll: &req}
	p.o.calls.send(args, func(reply RelayReply, err error) {
		reply.Report.RequestedAt, reply.Report.FenceGeneration = sent, generation
		done(reply, err)
	})
}

func (p *runnerPoller) pollFinished(st *pollState, ref scheduler.RunnerRef, req PollRequest, sent time.Duration, reply RelayReply, err error) {
	st.inFlight = false
	st.recheck = false
	if errors.Is(err, ErrFenced) {
		p.o.handleFenced("look", ref.ID, req.Fence)
		st.nextAt = p.o.loopTime + failedPollRetry
		return
	}
	if errors.Is(err, errRelay) && p.states[ref.ID] == st {
		p.poll(st) // by another route
		return
	}
	if LocalFailure(err) || TimedOut(err) && p.maySucceed(st) {
		st.nextAt = p.o.loopTime + failedPollRetry
		return
	}
	if TimedOut(err) && p.states[ref.ID] == st && p.recentlyAnswered(st) && p.o.pace.OverloadedSince(sent, p.o.loopTime) {
		st.recheck = true // without renewing leases, so that those of a lost runner expire in time
		p.poll(st)
		return
	}
	if errors.Is(err, ErrReplaced) {
		st.answered = false
		st.nextAt = p.o.loopTime + replacedPollRetry
		p.o.sched.RunnerReplaced(ref)
		return
	}
	if err != nil {
		lost := p.contactLoss(st, sent, reply.endedAt, err)
		if st.answered {
			p.o.unreachable(ref, lost)
		} else { // the fence has been raised since the last answer, and only polls without a lease have been sent
			p.o.sched.RunnerUnreachable(ref, lost)
		}
		st.answered = false
		st.nextAt = p.o.loopTime + failedPollRetry
		if !p.recentlyAnswered(st) {
			st.nextAt = p.o.loopTime + silentPollRetry
		}
		return
	}
	if !p.o.usedRunners.record(ref) {
		st.nextAt = p.o.loopTime + recordingPause
		return
	}
	st.answered = true
	st.answeredAt = p.o.loopTime
	report := reply.Report
	p.o.report(report)
	if known, ok := p.o.sched.Ref(ref.ID); ok && known.Addr == ref.Addr {
		st.setRef(known) // the next poll is for the incarnation that has answered
	}
	st.bare = report.Bare
	if report.Bare && !req.Identify && p.states[ref.ID] == st {
		p.poll(st) // the lease has not been renewed
		return
	}
	omitted, omittedBefore := false, st.omitted
	for _, end := range report.Ended {
		if report.Incarnation != st.ref.Incarnation {
			break // a late report of an ended incarnation, whose ends have the same numbers
		}
		st.lastReported = max(st.lastReported, end.Seq)
		omitted = omitted || end.Seq <= st.acknowledged
	}
	st.omitted = omitted
	st.nextAt = p.o.loopTime + pacing.PollPause(p.o.pace.Delay(p.o.loopTime), len(report.Running) > 0)
	if st.lastReported > p.o.sched.Acknowledged(ref.ID) || omitted && omittedBefore {
		st.nextAt = max(st.nextAt, p.o.loopTime+unacknowledgedPollPause)
		return
	}
	if p.states[ref.ID] == st && st.nextAt <= p.o.loopTime {
		p.poll(st)
	}
}

// closeNotice is how soon the end of a runner's process is noticed by a poll that waits there: the round trip between two
// availability zones.
const closeNotice = 20 * time.Millisecond

// contactLoss returns how a poll lost contact that was sent and ended at the given times. If the runner closed the connection
// while the poll waited, its process ended then; if it did so at once, at any time since the last answer.
func (p *runnerPoller) contactLoss(st *pollState, sent, ended time.Duration, err error) scheduler.ContactLoss {
	lost := scheduler.ContactLoss{Reason: err.Error(), Closed: closedByRunner(err), AliveUntil: st.answeredAt}
	if ended-sent > 2*closeNotice {
		lost.AliveUntil = max(lost.AliveUntil, ended-closeNotice)
	}
	return lost
}

// maySucceed reports whether a poll that timed out says nothing about the runner, because this process or its link is
// overloaded. A runner that has been silent for longer than a lease has ended its runs, whatever the reason.
func (p *runnerPoller) maySucceed(st *pollState) bool {
	return p.o.pace.Overloaded(p.o.loopTime) && p.recentlyAnswered(st)
}

// recentlyAnswered reports whether a runner has answered, or was first polled, less than a lease ago.
func (p *runnerPoller) recentlyAnswered(st *pollState) bool {
	return p.o.loopTime-max(st.answeredAt, st.firstAt) < p.o.n.opt.Scheduler.RunLease
}
