package entry

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

const (
	// movedRetryInterval is the time between two tries while a shard moves.
	// A new view triggers the next try earlier.
	movedRetryInterval = 50 * time.Millisecond
	// replySlack is added to the wait limit and the run limits to get the timeout
	// of a submission.
	replySlack = 5 * time.Second
	// noOwnerRetryAfter is the Retry-After value while a shard has no owner. A
	// takeover takes about this long.
	noOwnerRetryAfter = 2 * time.Second
)

// submission is a request of a caller that this process is submitting.
type submission struct {
	model.Submission
	template model.Template
	deadline time.Time // for the start of the work
	mayRun   bool      // an earlier try may have reached a shard owner
}

// newSubmission returns the submission with its start deadline, and a context
// that expires after the wait limit, all runs and replySlack.
func newSubmission(ctx context.Context, s model.Submission, t model.Template) (*submission, context.Context, context.CancelFunc) {
	wait := t.MaxWait
	if s.MaxWait > 0 && s.MaxWait < wait {
		wait = s.MaxWait
	}
	limit := wait + time.Duration(1+t.RetryLimit)*t.RunLimit + replySlack
	ctx, cancel := context.WithTimeout(ctx, limit)
	return &submission{Submission: s, template: t, deadline: time.Now().Add(wait)}, ctx, cancel
}

// submit retries until there is a reply, the start deadline passes or ctx ends. It
// returns errStopped if this incarnation ends first.
func (n *Node) submit(ctx context.Context, s *submission) (model.Reply, error) {
	for {
		changed := n.viewChanged.wait()
		reply, err := n.submitOnce(ctx, s)
		if err == nil && reply.Reason != model.ReasonMoved {
			return reply, nil
		}
		if err != nil && !errors.Is(err, errNotSent) {
			s.mayRun = true
			s.Resent = true
		}
		if n.ctx.Err() != nil {
			return model.Reply{}, errStopped
		}
		if ctx.Err() != nil || time.Now().After(s.deadline) {
			return noOwnerReply(s.mayRun), nil
		}
		select {
		case <-ctx.Done():
		case <-n.done:
		case <-changed:
		case <-time.After(movedRetryInterval):
		}
	}
}

// noOwnerReply returns the reply to a submission for which no shard owner could
// be reached. If an earlier try may have arrived, the outcome is unknown.
func noOwnerReply(mayRun bool) model.Reply {
	r := model.Reply{Outcome: model.OutcomeNotRun, Reason: model.ReasonNoOwner, RetryAfter: noOwnerRetryAfter}
	if mayRun {
		r.Outcome = model.OutcomeUnknown
	}
	return r
}

// submitOnce submits to the shard owner in the current view. After an error other
// than errNotSent it is unknown whether the owner has the submission.
func (n *Node) submitOnce(ctx context.Context, s *submission) (model.Reply, error) {
	shard := s.Key.Shard()
	owner := n.currentView().ShardOwner(shard)
	if owner == n.self.Incarnation {
		return n.submitLocal(ctx, s.Submission)
	}
	ctx, cancel := n.contextWhileOwner(ctx, shard, owner)
	defer cancel()
	var reply SubmitReply
	args := SubmitArgs{Header: n.header(), Submission: s.Submission}
	err := n.peers.call(ctx, owner, connClassFor(s.template), "Shard.Submit", args, &reply)
	if err != nil {
		return model.Reply{}, err
	}
	n.observe(reply.Header)
	return reply.Reply, nil
}

// contextWhileOwner returns a context that is cancelled when the shard gets another
// owner. Otherwise a call to a paused or unreachable process would hang.
func (n *Node) contextWhileOwner(ctx context.Context, s model.ShardID, owner string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	n.start("view", func() {
		for {
			changed := n.viewChanged.wait()
			if n.currentView().ShardOwner(s) != owner {
				cancel()
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	})
	return ctx, cancel
}

// submitLocal submits to the local shard table and waits for the reply.
func (n *Node) submitLocal(ctx context.Context, s model.Submission) (model.Reply, error) {
	waiter := make(chan model.Reply, 1)
	n.post(submitRequest{submission: s, waiter: waiter})
	select {
	case r := <-waiter:
		return r, nil
	case <-ctx.Done():
		n.post(waiterCancelled{key: s.Key, waiter: waiter})
		return model.Reply{}, ctx.Err()
	case <-n.done:
		return model.Reply{}, errStopped
	}
}

// submitRequest passes a submission to the shard table.
type submitRequest struct {
	submission model.Submission
	waiter     chan model.Reply
}

func (e submitRequest) apply(l *loop) {
	if !l.takeover.serves(e.submission.Key.Shard()) {
		e.waiter <- model.Reply{Reason: model.ReasonMoved}
		return
	}
	l.lastWaiter++
	id := l.lastWaiter
	l.waiters[id] = e.waiter
	l.waiterIDs[e.waiter] = id
	l.applyShard(l.table.Submit(l.now(), e.submission, id))
}

// waiterCancelled removes a waiter whose caller no longer waits. The request is
// not cancelled.
type waiterCancelled struct {
	key    model.RequestKey
	waiter chan model.Reply
}

func (e waiterCancelled) apply(l *loop) {
	id, ok := l.waiterIDs[e.waiter]
	if !ok {
		return
	}
	delete(l.waiterIDs, e.waiter)
	delete(l.waiters, id)
	l.table.RemoveWaiter(e.key, id)
}

// GenerateID generates a request identifier whose shard this process owns, so that
// the submission is not forwarded. It returns any identifier if there is an ordering
// key, which determines the shard, or if none is found in requestIDTries.
func (n *Node) GenerateID(t model.TemplateID, orderingKey string) string {
	v := n.currentView()
	for range requestIDTries {
		id := newRequestID()
		key := model.RequestKey{Template: t, OrderingKey: orderingKey, ID: id}
		if orderingKey != "" || v.ShardOwner(key.Shard()) == n.self.Incarnation {
			return id
		}
	}
	return newRequestID()
}

// Cancel cancels requests at their shard owners.
func (n *Node) Cancel(ctx context.Context, keys []model.RequestKey) ([]model.CancelResult, error) {
	v := n.currentView()
	byOwner := make(map[string][]model.RequestKey)
	for _, k := range keys {
		owner := v.ShardOwner(k.Shard())
		byOwner[owner] = append(byOwner[owner], k)
	}
	found := make(map[model.RequestKey]model.CancelResult, len(keys))
	for owner, part := range byOwner {
		results, err := n.cancelAt(ctx, owner, part)
		if err != nil {
			return nil, err
		}
		for _, r := range results {
			found[r.Key] = r
		}
	}
	out := make([]model.CancelResult, len(keys))
	for i, k := range keys {
		out[i] = found[k]
	}
	return out, nil
}

func (n *Node) cancelAt(ctx context.Context, owner string, keys []model.RequestKey) ([]model.CancelResult, error) {
	if owner == n.self.Incarnation {
		r, err := postAndWait(ctx, n, func(r chan<- cancelResult) event { return cancelRequest{keys: keys, result: r} })
		return r.results, cmp.Or(err, r.err)
	}
	var reply CancelReply
	err := n.peers.call(ctx, owner, connControl, "Shard.Cancel", CancelArgs{Header: n.header(), Keys: keys}, &reply)
	if err != nil {
		return nil, err
	}
	n.observe(reply.Header)
	return reply.Results, nil
}

// cancelRequest cancels requests in the shard table.
type cancelRequest struct {
	keys   []model.RequestKey
	result chan<- cancelResult
}

// cancelResult is the result of cancelRequest. With errNotShardOwner nothing was cancelled.
type cancelResult struct {
	results []model.CancelResult
	err     error
}

func (e cancelRequest) apply(l *loop) {
	for _, k := range e.keys {
		if !l.takeover.serves(k.Shard()) {
			e.result <- cancelResult{err: errNotShardOwner}
			return
		}
	}
	results, effects := l.table.Cancel(l.now(), e.keys)
	l.applyShard(effects)
	answer := func() { e.result <- cancelResult{results: results} }
	if len(effects.Records) == 0 {
		answer()
		return
	}
	// Without the record the next owner of the shard could run what was reported as not run.
	l.acks.whenDurable(answer)
}

// Status returns the state of a request at its shard owner. While the shard moves it asks
// again until ctx ends.
func (n *Node) Status(ctx context.Context, key model.RequestKey) (model.JobStatus, bool, error) {
	for {
		r, err := n.statusOnce(ctx, key)
		switch {
		case err == nil && !r.Found && r.MayHaveRun:
			return r.Status, false, gateway.ErrMayHaveRun
		case err == nil || err.Error() != errNotShardOwner.Error(): // an RPC error has only the text
			return r.Status, r.Found, err
		}
		select {
		case <-ctx.Done():
			return model.JobStatus{}, false, err
		case <-n.done:
			return model.JobStatus{}, false, errStopped
		case <-time.After(movedRetryInterval):
		}
	}
}

func (n *Node) statusOnce(ctx context.Context, key model.RequestKey) (StatusReply, error) {
	owner := n.currentView().ShardOwner(key.Shard())
	if owner == n.self.Incarnation {
		return n.statusLocal(ctx, key)
	}
	var reply StatusReply
	err := n.peers.call(ctx, owner, connControl, "Shard.Status", StatusArgs{Header: n.header(), Key: key}, &reply)
	if err == nil {
		n.observe(reply.Header)
	}
	return reply, err
}

// statusLocal returns the state of a request of a shard that this process serves.
func (n *Node) statusLocal(ctx context.Context, key model.RequestKey) (StatusReply, error) {
	r, err := postAndWait(ctx, n, func(r chan<- statusResult) event { return statusRequest{key: key, result: r} })
	return r.reply, cmp.Or(err, r.err)
}

// statusRequest requests the state of a request from the shard table.
type statusRequest struct {
	key    model.RequestKey
	result chan<- statusResult
}

// statusResult is the result of statusRequest.
type statusResult struct {
	reply StatusReply
	err   error
}

func (e statusRequest) apply(l *loop) {
	if !l.takeover.serves(e.key.Shard()) {
		e.result <- statusResult{err: errNotShardOwner}
		return
	}
	var r StatusReply
	r.Status, r.Found = l.table.Status(e.key)
	r.MayHaveRun = !r.Found && l.table.MayHaveRun(l.now(), e.key)
	e.result <- statusResult{reply: r}
}

// jobsRequest queries the requests in the shard table.
type jobsRequest struct {
	filter shard.Filter
	result chan<- []model.JobStatus
}

func (e jobsRequest) apply(l *loop) { e.result <- l.table.Jobs(e.filter) }
