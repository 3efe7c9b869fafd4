package entry

import (
	"context"
	"time"

	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

var _ gateway.Scheduler = (*Process)(nil)

// Template returns the current version of the template.
func (p *Process) Template(id model.TemplateID) (model.Template, bool) {
	return p.cfg.Cache.Template(id)
}

// GenerateID generates a request identifier. Unless the ordering key determines the
// shard, the identifier belongs to a shard that this process owns, if possible.
func (p *Process) GenerateID(t model.TemplateID, orderingKey string) string {
	if n := p.Node(); n != nil {
		return n.GenerateID(t, orderingKey)
	}
	return newRequestID()
}

// Submit submits to the shard owner and returns the final reply, or the
// acceptance of asynchronous work. While the shard moves or this process rejoins,
// it retries until the caller's wait limit.
func (p *Process) Submit(ctx context.Context, s model.Submission) model.Reply {
	t, ok := p.Template(s.Key.Template)
	if !ok {
		return model.Reply{Outcome: model.OutcomeNotRun, Reason: model.ReasonUnknownTemplate}
	}
	p.record("received", s.Key.ID, s.Key.Template.String())
	sub, ctx, cancel := newSubmission(ctx, s, t)
	defer cancel()
	reply := p.submitAnyIncarnation(ctx, sub)
	p.record("answered", s.Key.ID, string(reply.Outcome)+" "+string(reply.Reason))
	return reply
}

func (p *Process) submitAnyIncarnation(ctx context.Context, s *submission) model.Reply {
	for {
		n := p.Node()
		if n != nil {
			reply, err := n.submit(ctx, s)
			if err == nil {
				return reply
			}
		}
		if ctx.Err() != nil || time.Now().After(s.deadline) {
			return noOwnerReply(s.mayRun)
		}
		select {
		case <-ctx.Done():
		case <-time.After(movedRetryInterval):
		}
	}
}

func (p *Process) record(name, request, detail string) {
	p.cfg.Recorder.Record(timeline.Event{Part: "entry", Name: name, Request: request, Detail: detail})
}

// Status returns the state of a request.
func (p *Process) Status(ctx context.Context, key model.RequestKey) (model.JobStatus, bool, error) {
	n := p.Node()
	if n == nil {
		return model.JobStatus{}, false, errNotMember
	}
	return n.Status(ctx, key)
}

// Cancel cancels requests.
func (p *Process) Cancel(ctx context.Context, keys []model.RequestKey) ([]model.CancelResult, error) {
	n := p.Node()
	if n == nil {
		return nil, errNotMember
	}
	return n.Cancel(ctx, keys)
}

// Cell returns the status of the cell, without details of members that can't be
// reached.
func (p *Process) Cell(ctx context.Context) gateway.CellStatus {
	n := p.Node()
	if n == nil {
		return gateway.CellStatus{Process: p.cfg.Settings.Name}
	}
	return n.Cell(ctx)
}

// Jobs returns the requests that match the filter.
func (p *Process) Jobs(ctx context.Context, f gateway.JobFilter) ([]model.JobStatus, error) {
	n := p.Node()
	if n == nil {
		return nil, errNotMember
	}
	return n.Jobs(ctx, f)
}

// Events returns the merged timeline of one request, or of all requests if
// request is empty.
func (p *Process) Events(ctx context.Context, request string) ([]timeline.Event, error) {
	n := p.Node()
	if n == nil {
		return nil, errNotMember
	}
	return n.Events(ctx, request)
}

// Ready returns nil while the process accepts requests, and otherwise the reason
// why it does not.
func (p *Process) Ready() error {
	if p.draining.Load() {
		return errLeaving
	}
	n := p.Node()
	if n == nil {
		return errNotMember
	}
	return n.Ready()
}

// Drain makes the process report that it is not ready. It is called before Leave.
func (p *Process) Drain() { p.draining.Store(true) }
