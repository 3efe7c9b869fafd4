package control

import (
	"context"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/ctxtime"
	"github.com/agateyard/agateyard/internal/job"
)

// maxQueries bounds the queries in the queue of the event loop to a quarter of it, so that they don't hold up other events.
const maxQueries = eventQueueSize / 4

// state returns the state of a job by the event loop. A query whose caller has gone is not executed. An owner that loads the
// durable state answers at once that it doesn't know it, so that the caller reads the stored record.
func (o *ownership) state(ctx context.Context, args JobArgs) StateReply {
	if o == nil || !o.progress.done.Load() {
		return StateReply{}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTime(args.Within, pingTimeout))
	defer cancel()
	if o.queries.Add(1) > maxQueries {
		o.queries.Add(-1)
		return StateReply{}
	}
	answer := make(chan StateReply, 1)
	query := func() {
		defer o.queries.Add(-1)
		if ctx.Err() != nil {
			return
		}
		if denied := o.checkAccess(args.ID, args.Caller); denied != OutcomeUnknown {
			answer <- StateReply{Owner: true, Refusal: denied}
			return
		}
		state, known := o.sched.State(args.ID)
		answer <- StateReply{Owner: true, Known: known, State: state}
	}
	select {
	case o.events <- query:
	case <-o.ctx.Done():
		o.queries.Add(-1)
		return StateReply{}
	case <-ctx.Done():
		o.queries.Add(-1)
		return StateReply{}
	}
	select {
	case reply := <-answer:
		return reply
	case <-o.ended:
		return StateReply{}
	case <-ctx.Done():
		return StateReply{}
	}
}

// ErrKeyUnknown means that the owner's configuration doesn't admit the caller of a query: it has no such key or route.
var ErrKeyUnknown = errors.New("the key is unknown to the owner")

// State returns a job's state. found is false if there is no such job or the caller may not access it; err is
// ErrKeyUnknown, or set if the state can't be determined now.
func (n *Node) State(ctx context.Context, caller Caller, id string) (state job.State, found bool, err error) {
	args := JobArgs{ID: id, Caller: caller}
	for {
		reply := n.ownerState(ctx, args)
		switch {
		case reply.Owner && reply.Refusal == OutcomeKeyUnknown:
			return "", false, ErrKeyUnknown
		case reply.Owner && reply.Refusal == OutcomeNotYours:
			return "", false, nil
		case reply.Owner && reply.Known:
			return reply.State, true, nil
		}
		if reply.Owner || ctx.Err() == nil {
			state, found, err = n.storedState(ctx, args)
			if err == nil || errors.Is(err, errUnreadable) {
				return state, found, err
			}
		}
		if ctx.Err() != nil {
			return "", false, ctx.Err()
		}
		ctxtime.Sleep(ctx, ownerRetryPause)
	}
}

// ownerState asks the owner for the state of a job, for half of the time left at most, so that the stored record can be read
// if the owner doesn't answer.
func (n *Node) ownerState(ctx context.Context, args JobArgs) StateReply {
	timeout := pingTimeout
	if at, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(at)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if local := n.ownership.Load(); local != nil {
		return local.state(ctx, args)
	}
	o, _ := n.view.currentOwner()
	if o.Address == "" {
		return StateReply{}
	}
	args.Within = timeAtOwner(timeout)
	var reply StateReply
	if err := call(ctx, n.peers.get(o.Address), "State", args, &reply); err != nil {
		return StateReply{}
	}
	n.noticeVersion(reply.ConfigVersion)
	return reply
}

// storedState reads a job's durable state.
func (n *Node) storedState(ctx context.Context, args JobArgs) (job.State, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, found, err := n.dep.Store.Get(ctx, jobPrefix+args.ID)
	n.recordStoreCall("get", err)
	if err != nil || !found {
		return "", false, err
	}
	record, err := n.decodeRecord(item)
	if err != nil {
		return "", false, err
	}
	if !args.Caller.mayAccess(record.Tenant, record.Queue) {
		return "", false, nil
	}
	if record.Final != "" {
		return record.Final, true, nil
	}
	if len(record.Progress) > 0 {
		return job.Running, true, nil
	}
	return job.Queued, true, nil
}

// maxPendingAge is the largest age of the counts of pending jobs that callers get.
const maxPendingAge = 2 * time.Second

// Pending returns how many accepted jobs of a queue have not started; known is false if no owner has said so lately.
func (n *Node) Pending(queue string) (count int, known bool) {
	if local := n.ownership.Load(); local != nil {
		if pending, at := local.pendingJobs(); pending != nil {
			return pending[queue], n.clock.Now()-at <= maxPendingAge
		}
	}
	return n.view.pendingOf(queue, maxPendingAge, n.clock.Now())
}
