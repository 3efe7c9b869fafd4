package control

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/job"
)

// refusedStoreAway is the reason of refusals while the store doesn't answer.
const refusedStoreAway = "store away"

// submit stores a job at this owner. A nil owner returns OutcomeNotOwner.
func (o *ownership) submit(ctx context.Context, args SubmitArgs) SubmitReply {
	spec := args.Spec
	args.Caller.claim(&spec)
	var retryAfter time.Duration // read once the outcome has been received
	outcome := o.runRequest(ctx, args.Within, func(done chan Outcome) {
		if denied := o.checkAccess(spec.ID, args.Caller); denied != OutcomeUnknown {
			done <- denied
			return
		}
		if o.unreadable[spec.ID] {
			done <- OutcomeUnreadable // a record of the job exists: starting it again could repeat work that has run
			return
		}
		if o.sched.Stored(spec.ID) {
			done <- OutcomeStored // a resubmission; it doesn't create another job
			return
		}
		_, durable, known := o.sched.Durable(spec.ID)
		if !known && o.n.health.failingFor(o.loopTime) > refuseSubmissionsAfter && o.mayRefuse() {
			retryAfter = outageRetryAfter(o.n.health.failingFor(o.loopTime), spec.ID)
			o.n.dep.Log.Log("refused", logrus.Fields{
				"job": spec.ID, "reason": refusedStoreAway, "retry_after_ms": retryAfter.Milliseconds(),
			})
			o.n.dep.Metrics.refused(refusedStoreAway)
			done <- OutcomeRefused
			return
		}
		if !known {
			if refusal := o.sched.Admit(&spec); refusal != nil {
				if !o.mayRefuse() {
					done <- OutcomeUnknown // a successor may have stored the job
					return
				}
				o.n.dep.Log.Log("refused", logrus.Fields{
					"job": spec.ID, "reason": refusal.Reason, "tenant": spec.Tenant, "retry_after_ms": refusal.RetryAfter.Milliseconds(),
					"wait_ms": refusal.Wait.Milliseconds(),
				})
				o.n.dep.Metrics.refused(refusal.Reason)
				retryAfter = refusal.RetryAfter
				if refusal.Overload {
					done <- OutcomeRefused // the cell is short of room, which no limit of the caller's explains
					return
				}
				done <- OutcomeOverLimit
				return
			}
			o.sched.Submit(spec)
		}
		o.n.dep.Log.Log("submitted", logrus.Fields{"job": spec.ID, "queue": spec.Queue, "known": known, "steps": len(spec.Steps)})
		o.answerWhenStored(spec.ID, firstVersion, durable, done)
	})
	reply := SubmitReply{Outcome: outcome}
	if outcome == OutcomeOverLimit || outcome == OutcomeRefused {
		reply.RetryAfter = retryAfter
	}
	return reply
}

// checkAccess returns OutcomeKeyUnknown if the owner's configuration doesn't admit the caller any more, OutcomeNotYours if
// the job belongs to another tenant, and OutcomeUnknown otherwise.
func (o *ownership) checkAccess(id string, caller Caller) Outcome {
	if caller.revoked(o.n.config.load(), o.n.opt.KeysRequired) {
		return OutcomeKeyUnknown
	}
	if tenant, queue, known := o.sched.JobOwner(id); known && !caller.mayAccess(tenant, queue) {
		return OutcomeNotYours
	}
	return OutcomeUnknown
}

func (o *ownership) cancelJob(ctx context.Context, args JobArgs) Outcome {
	id := args.ID
	return o.runRequest(ctx, ownerTime(args.Within, cancelTimeout), func(done chan Outcome) {
		if denied := o.checkAccess(id, args.Caller); denied != OutcomeUnknown {
			done <- denied
			return
		}
		if o.unreadable[id] {
			done <- OutcomeUnreadable
			return
		}
		if !o.sched.Cancel(id) {
			if !o.mayRefuse() {
				done <- OutcomeUnknown // a successor may have stored the job
				return
			}
			done <- OutcomeNoJob
			return
		}
		version, durable, _ := o.sched.Durable(id)
		o.n.dep.Log.Log("cancel", logrus.Fields{"job": id})
		o.answerWhenStored(id, version, durable, done)
	})
}

func (o *ownership) answerWhenStored(id string, version, durable int64, done chan Outcome) {
	if durable >= version {
		done <- OutcomeStored
		return
	}
	o.writer.addWaiter(id, version, done)
}

// runRequest runs a request in the event loop and waits for its outcome, until ctx is done or for the given time at most. The
// request is executed even if its caller has gone by then; when the caller asks again, it finds the result.
func (o *ownership) runRequest(ctx context.Context, within time.Duration, event func(done chan Outcome)) Outcome {
	if o == nil {
		return OutcomeNotOwner
	}
	done := make(chan Outcome, 1)
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	select {
	case o.events <- func() { event(done) }:
	case <-o.ctx.Done():
		return OutcomeNotOwner
	case <-ctx.Done():
		return OutcomeNotOwner // the event was never queued
	}
	select {
	case outcome := <-done:
		return outcome
	case <-o.ended:
		select {
		case outcome := <-done:
			return outcome
		default:
			return OutcomeUnknown
		}
	case <-ctx.Done():
		return OutcomeUnknown
	}
}

// ownerTime returns how long the owner may spend on a call. Without a valid limit of the caller it is the longest time that
// callers of earlier builds wait.
func ownerTime(within, limit time.Duration) time.Duration {
	if within <= 0 {
		return limit
	}
	return min(within, limit)
}

const (
	// firstVersion is the version of a job's durable state when it is accepted.
	firstVersion = 1
	// ownerRetryPause is the pause before a request without a certain outcome is sent again. A submission or cancellation is
	// sent earlier if a new owner becomes known.
	ownerRetryPause = 60 * time.Millisecond
	// replyMargin is the time allowed for a round trip to the owner. Half of it, the network latency of the reply, is
	// subtracted from the call's timeout to get the time that the owner may take.
	replyMargin = 150 * time.Millisecond
	// replyShare limits that part of a short timeout to 1/replyShare.
	replyShare = 3
	// ownerCallTimeout bounds one call to the owner, after which the call is repeated.
	ownerCallTimeout = 1500 * time.Millisecond
	// noOwnerTimeout is how long a request waits for an owner before it is given up. A takeover usually takes less.
	noOwnerTimeout = 2 * time.Second
)

// Answer is the result of a submission or cancellation.
type Answer struct {
	Outcome    Outcome
	RetryAfter time.Duration // of OutcomeOverLimit and OutcomeRefused; 0 from owners of earlier builds
	// OwnerConfig is the version of the configuration in force at the owner that answered; 0 if none did.
	OwnerConfig int64
}

// Submit stores a job at the owner, locally or in another process. The job becomes the caller's. OutcomeRefused means that
// it was certainly not stored, by this submission or an earlier one; OutcomeUnknown that it may have been.
func (n *Node) Submit(ctx context.Context, caller Caller, spec job.Spec) Answer {
	var last SubmitReply
	outcome := n.callOwner(ctx, func(ctx context.Context, o OwnerInfo, within time.Duration) (Outcome, error) {
		args := SubmitArgs{Spec: spec, Caller: caller, Within: within}
		if local := n.ownership.Load(); local != nil {
			last = local.submit(ctx, args)
			last.ConfigVersion = n.configVersion()
			return last.Outcome, nil
		}
		var reply SubmitReply
		err := call(ctx, n.peers.get(o.Address), "Submit", args, &reply)
		n.noticeVersion(reply.ConfigVersion)
		last = reply
		return reply.Outcome, err
	})
	return Answer{Outcome: outcome, RetryAfter: last.RetryAfter, OwnerConfig: last.ConfigVersion}
}

// Cancel cancels a job at the owner, locally or in another process.
func (n *Node) Cancel(ctx context.Context, caller Caller, id string) Outcome {
	args := JobArgs{ID: id, Caller: caller}
	return n.callOwner(ctx, func(ctx context.Context, o OwnerInfo, within time.Duration) (Outcome, error) {
		args.Within = within
		if local := n.ownership.Load(); local != nil {
			return local.cancelJob(ctx, args), nil
		}
		var reply SubmitReply
		err := call(ctx, n.peers.get(o.Address), "Cancel", args, &reply)
		n.noticeVersion(reply.ConfigVersion)
		return reply.Outcome, err
	})
}

// callOwner sends a request to the current owner and repeats it until an owner has reported its outcome, ctx is done, or
// no owner could be called within noOwnerTimeout. Only an owner can refuse a request: other processes don't know what
// became of an earlier request for the same job. The request must be idempotent.
func (n *Node) callOwner(ctx context.Context, send func(context.Context, OwnerInfo, time.Duration) (Outcome, error)) Outcome {
	mayBeStored := false // a request was sent whose outcome is not known
	started := n.clock.Now()
	for ctx.Err() == nil {
		o, changed := n.view.currentOwner()
		if o.Incarnation != "" {
			callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
			within := ownerCallTimeout
			if at, ok := callCtx.Deadline(); ok {
				left := time.Until(at)
				within = timeAtOwner(left)
			}
			outcome, err := send(callCtx, o, within)
			cancel()
			switch {
			case err == nil && outcome.isRefusal() && mayBeStored:
				return OutcomeUnknown
			case err == nil && outcome != OutcomeUnknown && outcome != OutcomeNotOwner:
				return outcome
			case err != nil && !errors.Is(err, errNotConnected) || err == nil && outcome == OutcomeUnknown:
				mayBeStored = true
			}
		}
		if !mayBeStored && n.clock.Now()-started > noOwnerTimeout {
			return OutcomeUnknown
		}
		select {
		case <-changed:
		case <-time.After(ownerRetryPause):
		case <-ctx.Done():
		}
	}
	return OutcomeUnknown
}

// timeAtOwner returns how long the owner may spend on a call for which the caller has the given time.
func timeAtOwner(left time.Duration) time.Duration {
	return max(left-min(replyMargin/2, left/replyShare), time.Millisecond)
}
