package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/decisionlog"
	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// runnerCallTimeout is how long a start or stop request may take before it counts as unanswered: far longer than a round
	// trip between availability zones, far shorter than the usual run of a task.
	runnerCallTimeout = 500 * time.Millisecond
	// adviceTimeoutMargin is added to the expected duration of an advice call to get the time limit that the called machine
	// applies, and once more to get the caller's timeout.
	adviceTimeoutMargin = 600 * time.Millisecond
)

// apply executes an effect of the scheduler and logs it, except for polls. Advice is logged when it has been answered.
func (o *ownership) apply(effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.StartRun:
		o.start(e)
	case scheduler.StopRun:
		o.stop(e)
	case scheduler.PollRunner:
		o.poller.pollNow(e.Runner)
	case scheduler.RequestAdvice:
		o.requestAdvice(e)
	case scheduler.JobFinished:
		o.n.dep.Metrics.jobEnded(e.State)
		o.n.dep.Log.Log("job-ended", logrus.Fields{
			"job": e.Job, "queue": e.Queue, "state": e.State, "reason": e.Reason, "late_ms": e.Late.Milliseconds(),
		})
		o.n.dep.Log.EndJob(e.Job, e.State == job.Failed || e.Late > 0)
	case scheduler.RunEnded:
		o.n.dep.Metrics.runEnded(e.Outcome, e.After)
		o.n.dep.Log.Log("run-ended", logrus.Fields{
			"task": e.Task.String(), "run": e.Run, "runner": e.Runner, "how": e.Outcome, "after_ms": e.After.Milliseconds(),
		})
	case scheduler.TenantWait:
		o.n.dep.Log.Log("tenant-wait", logrus.Fields{"step": e.Step.String(), "tenant": e.Tenant, "reason": e.Reason, "ended": e.Ended})
	case scheduler.StageWaiting:
		o.n.dep.Metrics.stageWaits.WithLabelValues(e.Cause).Inc()
		fields := logrus.Fields{
			"step": e.Step.String(), "tasks": e.Tasks, "waited_ms": e.Waited.Milliseconds(), "cause": e.Cause,
			"eligible": e.Eligible, "room": e.Room, "free": e.Free,
		}
		if e.Gang.Job != "" {
			fields["gang"], fields["gang_starts_in_ms"] = e.Gang.String(), e.GangStartsIn.Milliseconds()
		}
		if e.RetryIn > 0 {
			fields["retry_in_ms"] = e.RetryIn.Milliseconds()
		}
		o.n.dep.Log.Log("stage-wait", fields)
	case scheduler.RunnerLost:
		o.runnerLost(e)
	case scheduler.CrashCounted:
		o.crashCounted(e)
	case scheduler.SuspectCleared:
		o.n.dep.Metrics.suspects.WithLabelValues("cleared").Inc()
		o.n.dep.Log.Log("suspect-cleared", logrus.Fields{"task": e.Task.String()})
	case scheduler.OwnFault:
		o.ownFault(e)
	case scheduler.RunnerChanged:
		o.n.dep.Log.Log("runner", logrus.Fields{"runner": e.Runner, "change": e.Change, "detail": e.Detail})
	}
}

func (o *ownership) runnerLost(e scheduler.RunnerLost) {
	o.n.dep.Metrics.runnerLosses.WithLabelValues(e.Evidence).Inc()
	started := make([]string, 0, len(e.Started))
	for _, x := range e.Started {
		started = append(started, fmt.Sprintf("%s run %d, %d ms", x.Task, x.Run, x.Age.Milliseconds()))
	}
	o.n.dep.Log.Log("runner-lost", logrus.Fields{
		"runner": e.Runner, "addr": e.Addr, "rack": e.Rack, "evidence": e.Evidence, "runs": e.Runs,
		"alive_ms_ago": e.AliveUntil.Milliseconds(), "just_started": started,
	})
}

func (o *ownership) crashCounted(e scheduler.CrashCounted) {
	o.n.dep.Metrics.suspects.WithLabelValues(e.Verdict.String()).Inc()
	o.n.dep.Log.Log("crash-counted", logrus.Fields{
		"task": e.Task.String(), "run": e.Run, "runner": e.Runner, "suspects": e.Suspects, "common_cause": e.CommonCause,
		"crashes": e.Crashes, "verdict": e.Verdict.String(),
	})
}

func (o *ownership) ownFault(e scheduler.OwnFault) {
	of := "task"
	if e.Index == scheduler.WholeStep {
		of = "step"
	}
	o.n.dep.Metrics.ownFaults.WithLabelValues(of).Inc()
	o.n.dep.Log.Log("own-fault", logrus.Fields{"step": e.Step.String(), "task": e.Index, "released": e.Released})
}

func (o *ownership) start(e scheduler.StartRun) {
	request := StartRequest{
		Task: e.Task, Run: e.Run, Payload: e.Payload, Ticket: e.Ticket, Checkpoint: e.Checkpoint,
		Fence: o.fences.of(e.Runner.ID), LeaseEnd: o.n.dep.Runners.LeaseEnd(e.Runner, o.n.opt.Scheduler.RunLease),
	}
	o.n.dep.Log.Log("start", logrus.Fields{
		"task": e.Task.String(), "run": e.Run, "runner": e.Runner.ID, "born": e.Runner.Incarnation, "fence": request.Fence,
		"lease_end_ms": request.LeaseEnd, "checkpoint": e.Checkpoint, "reason": e.Reason,
	})
	o.startRate.Started()
	o.startLimit.Sent()
	sent, began := o.loopTime, o.n.clock.Now()
	args := RelayArgs{Runner: e.Runner, Fence: o.info.Rev, Within: runnerCallTimeout, Start: &request}
	o.calls.send(args, func(reply RelayReply, err error) {
		// The delay of the call alone: the placement pass before it and the events before its answer would take as long with
		// fewer starts in flight.
		o.startLimit.Answered(reply.endedAt-began, o.loopTime)
		o.startAnswered(e, request.Fence, reply.Outcome, err, sent)
	})
}

func (o *ownership) startAnswered(e scheduler.StartRun, fence int64, outcome scheduler.StartOutcome, err error, sent time.Duration) {
	outcome = o.withoutBlame(outcome, err)
	o.n.dep.Metrics.startAnswered(outcome, o.loopTime-sent)
	if errors.Is(err, ErrFenced) {
		o.handleFenced("start", e.Runner.ID, fence)
	}
	if outcome != scheduler.StartOK {
		o.n.dep.Log.Log("start-failed", logrus.Fields{
			"task": e.Task.String(), "run": e.Run, "runner": e.Runner.ID, "outcome": outcome.String(),
			"error": decisionlog.ErrorText(err), "after_ms": (o.loopTime - sent).Milliseconds(),
		})
	}
	if outcome == scheduler.StartUnknown && closedByRunner(err) {
		o.unreachable(e.Runner, scheduler.ContactLoss{Reason: err.Error(), Closed: true, AliveUntil: sent})
		o.poller.pollNow(e.Runner) // a connection may be reset although the runner is alive
	}
	if errors.Is(err, ErrOtherIncarnation) {
		o.raiseFence(e.Runner.ID)
		o.poller.pollNow(e.Runner) // the start was not sent; the runner has started again
	}
	o.sched.StartAnswered(e.Runner, e.Task, e.Run, outcome)
}

// withoutBlame returns the outcome of a start that timed out while this process or its link was overloaded, or was paused:
// the runner isn't quarantined for it, and the run isn't stopped before a poll has looked for it.
func (o *ownership) withoutBlame(outcome scheduler.StartOutcome, err error) scheduler.StartOutcome {
	late := TimedOut(err) && (o.pace.Overloaded(o.loopTime) || o.pace.Quiet(o.loopTime))
	if !late && !errors.Is(err, errPaused) {
		return outcome
	}
	switch outcome {
	case scheduler.StartUnknown:
		return scheduler.StartUnsettled
	case scheduler.StartUnhealthy:
		return scheduler.StartNotSent
	}
	return outcome
}

func (o *ownership) stop(e scheduler.StopRun) {
	fence := o.fences.of(e.Runner.ID)
	o.n.dep.Log.Log("stop", logrus.Fields{
		"task": e.Task.String(), "run": e.Run, "runner": e.Runner.ID, "fence": fence, "reason": e.Reason,
	})
	args := RelayArgs{
		Runner: e.Runner, Fence: o.info.Rev, Within: runnerCallTimeout,
		Stop: &StopRequest{Task: e.Task, Run: e.Run, Fence: fence},
	}
	o.calls.send(args, func(_ RelayReply, err error) {
		if errors.Is(err, ErrFenced) {
			o.handleFenced("stop", e.Runner.ID, fence)
		}
		if err == nil {
			o.sched.StopAnswered(e.Runner, e.Task, e.Run)
		}
	})
}

func (o *ownership) requestAdvice(e scheduler.RequestAdvice) {
	args := AdviseArgs{Step: e.Step, Within: e.Expected + adviceTimeoutMargin}
	for _, r := range e.Runners {
		args.Runners = append(args.Runners, r.ID)
	}
	sent := o.loopTime
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, args.Within+adviceTimeoutMargin)
		defer cancel()
		reply, err := o.adviseAt(ctx, e.Machine, args)
		answered := o.n.clock.Now()
		o.post(func() {
			reply.Valid = remainingValidity(reply.Valid, args.Within+adviceTimeoutMargin, sent, answered, o.loopTime)
			o.adviceAnswered(e, reply, err, sent)
		})
	}()
}

// remainingValidity returns how long tickets are still valid when the event loop reads them: without the time that the
// answer spent in its queue, and that by which a pause of this process made the call longer than its limit.
func remainingValidity(valid, limit, sent, answered, now time.Duration) time.Duration {
	return max(valid-max(now-answered, 0)-max(answered-sent-limit, 0), 0)
}

func (o *ownership) adviseAt(ctx context.Context, address string, args AdviseArgs) (AdviseReply, error) {
	if address == o.n.opt.Address {
		return o.n.advise(ctx, args)
	}
	var reply AdviseReply
	err := call(ctx, o.n.peers.get(address), "Advise", args, &reply)
	return reply, err
}

func (o *ownership) adviceAnswered(e scheduler.RequestAdvice, reply AdviseReply, err error, sent time.Duration) {
	o.sched.Dispatcher().Done(e.Machine, e.Expected, o.loopTime, err != nil)
	o.n.dep.Metrics.Advice.Observe((o.loopTime - sent).Seconds())
	fields := logrus.Fields{
		"step": e.Step.String(), "asked": len(e.Runners), "good": len(reply.Good), "by": e.Machine,
		"renewal": e.Renewal, "after_ms": (o.loopTime - sent).Milliseconds(), "error": decisionlog.ErrorText(err),
	}
	o.n.dep.Log.Log("advice", fields)
	if err != nil {
		o.sched.AdviceFailed(e.Step)
		return
	}
	o.sched.AdviceAnswered(e.Step, e.Runners, reply.Good, reply.Valid)
}

// handleFenced reads the claim again after a runner has refused a request because a newer owner has called it, unless a later
// call of this owner with a higher fence has overtaken the request.
func (o *ownership) handleFenced(request, runner string, fence int64) {
	if o.paused {
		return
	}
	overtaken := fence < o.fences.of(runner)
	o.n.dep.Log.Log("fenced", logrus.Fields{"order": request, "runner": runner, "fence": fence, "overtaken": overtaken})
	if overtaken {
		return
	}
	o.recheckClaim(0)
}
