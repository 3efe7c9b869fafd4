package control

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/decisionlog"
	"github.com/agateyard/agateyard/internal/scheduler"
)

const (
	// startTimeout is how long a start may take before it counts as unanswered: far more than a round trip between
	// zones, far less than what a task's run takes.
	startTimeout = 500 * time.Millisecond
	// adviceSlack is added to the expected work before an advice call is given up.
	adviceSlack = 600 * time.Millisecond
)

// apply carries out an effect of the scheduler and writes the line that explains it.
func (o *owner) apply(effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.StartRun:
		o.start(e)
	case scheduler.StopRun:
		o.stop(e)
	case scheduler.PollRunner:
		o.looks.inspect(e.Runner)
	case scheduler.RequestAdvice:
		o.ask(e)
	case scheduler.JobFinished:
		o.n.dep.Metrics.finished(e.State)
		o.n.dep.Log.Log("job-ended", logrus.Fields{"job": e.Job, "queue": e.Queue, "state": e.State, "reason": e.Reason})
	case scheduler.RunEnded:
		o.n.dep.Metrics.runEnded(e.Outcome, e.After)
		o.n.dep.Log.Log("run-ended", logrus.Fields{
			"task": e.Task.String(), "run": e.Run, "runner": e.Runner, "how": e.Outcome, "after_ms": e.After.Milliseconds(),
		})
	case scheduler.RunnerChanged:
		o.n.dep.Log.Log("runner", logrus.Fields{"runner": e.Runner, "change": e.Change, "detail": e.Detail})
	}
}

func (o *owner) start(e scheduler.StartRun) {
	order := StartRequest{
		Task: e.Task, Run: e.Run, Payload: e.Payload, Ticket: e.Ticket, Checkpoint: e.Checkpoint,
		Fence: o.info.Rev, Lease: o.n.opt.Scheduler.RunLease,
	}
	o.n.dep.Log.Log("start", logrus.Fields{
		"task": e.Task.String(), "run": e.Run, "runner": e.Runner.ID, "born": e.Runner.Incarnation, "fence": o.info.Rev,
		"checkpoint": e.Checkpoint, "reason": e.Reason,
	})
	sent := o.seen
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, startTimeout)
		defer cancel()
		outcome, err := o.n.dep.Runners.Start(ctx, e.Runner, order)
		o.post(func() { o.startAnswered(e, outcome, err, sent) })
	}()
}

func (o *owner) startAnswered(e scheduler.StartRun, outcome scheduler.StartOutcome, err error, sent time.Duration) {
	o.n.dep.Metrics.started(outcome, o.seen-sent)
	if errors.Is(err, ErrFenced) {
		o.fenced("start")
	}
	if outcome != scheduler.StartOK {
		o.n.dep.Log.Log("start-failed", logrus.Fields{
			"task": e.Task.String(), "run": e.Run, "runner": e.Runner.ID, "outcome": outcome.String(),
			"error": decisionlog.ErrorText(err), "after_ms": (o.seen - sent).Milliseconds(),
		})
	}
	o.sched.StartAnswered(e.Runner.ID, e.Task, e.Run, outcome)
}

func (o *owner) stop(e scheduler.StopRun) {
	o.n.dep.Log.Log("stop", logrus.Fields{
		"task": e.Task.String(), "run": e.Run, "runner": e.Runner.ID, "fence": o.info.Rev, "reason": e.Reason,
	})
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, startTimeout)
		defer cancel()
		err := o.n.dep.Runners.Stop(ctx, e.Runner, e.Task, e.Run, o.info.Rev)
		o.post(func() {
			if errors.Is(err, ErrFenced) {
				o.fenced("stop")
			}
			if err == nil {
				o.sched.StopAnswered(e.Runner.ID, e.Task, e.Run)
			}
		})
	}()
}

func (o *owner) ask(e scheduler.RequestAdvice) {
	args := AdviseArgs{Step: e.Step, Within: e.Expected + adviceSlack}
	for _, r := range e.Runners {
		args.Runners = append(args.Runners, r.ID)
	}
	sent := o.seen
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, args.Within+adviceSlack)
		defer cancel()
		reply, err := o.adviseAt(ctx, e.Machine, args)
		o.post(func() { o.advised(e, reply, err, sent) })
	}()
}

func (o *owner) adviseAt(ctx context.Context, address string, args AdviseArgs) (AdviseReply, error) {
	if address == o.n.opt.Address {
		return o.n.advise(ctx, args)
	}
	var reply AdviseReply
	err := call(ctx, o.n.peers.get(address), "Advise", args, &reply)
	return reply, err
}

func (o *owner) advised(e scheduler.RequestAdvice, reply AdviseReply, err error, sent time.Duration) {
	o.sched.Dispatcher().Done(e.Machine, e.Expected, o.seen, err != nil)
	o.n.dep.Metrics.Advice.Observe((o.seen - sent).Seconds())
	fields := logrus.Fields{
		"step": e.Step.String(), "asked": len(e.Runners), "good": len(reply.Good), "by": e.Machine,
		"renewal": e.Renewal, "after_ms": (o.seen - sent).Milliseconds(), "error": decisionlog.ErrorText(err),
	}
	o.n.dep.Log.Log("advice", fields)
	if err != nil {
		o.sched.AdviceFailed(e.Step)
		return
	}
	o.sched.AdviceAnswered(e.Step, e.Runners, reply.Good, reply.Valid)
}

// fenced handles a runner's word that a newer owner has called it.
func (o *owner) fenced(order string) {
	if o.paused {
		return
	}
	o.n.dep.Log.Log("fenced", logrus.Fields{"order": order, "fence": o.info.Rev})
	o.verify(0)
}
