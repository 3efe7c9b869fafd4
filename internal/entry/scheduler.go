package entry

import (
	"context"

	"github.com/agateyard/agateyard/internal/gateway"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

var _ gateway.Scheduler = (*Process)(nil)

// Template returns the template in force.
func (p *Process) Template(id model.TemplateID) (model.Template, bool) {
	return p.cfg.Cache.Template(id)
}

// MintID returns an identifier of a shard that this process owns where the
// ordering key leaves the choice.
func (p *Process) MintID(t model.TemplateID, orderingKey string) string {
	if n := p.Node(); n != nil {
		return n.MintID(t, orderingKey)
	}
	return newRequestID()
}

// Submit takes a submission to its shard owner; see Node.Submit.
func (p *Process) Submit(ctx context.Context, s model.Submission) model.Reply {
	n := p.Node()
	if n == nil {
		return giveUp(false)
	}
	return n.Submit(ctx, s)
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

// Cell returns the state of the cell as far as it can be reached.
func (p *Process) Cell(ctx context.Context) gateway.CellStatus {
	n := p.Node()
	if n == nil {
		return gateway.CellStatus{Process: p.cfg.Settings.Name}
	}
	return n.Cell(ctx)
}

// Jobs returns the requests that the filter selects.
func (p *Process) Jobs(ctx context.Context, f gateway.JobFilter) ([]model.JobStatus, error) {
	n := p.Node()
	if n == nil {
		return nil, errNotMember
	}
	return n.Jobs(ctx, f)
}

// Events returns the merged time line.
func (p *Process) Events(ctx context.Context, request string) ([]timeline.Event, error) {
	n := p.Node()
	if n == nil {
		return nil, errNotMember
	}
	return n.Events(ctx, request)
}

// Ready returns nil while the process takes requests, else the reason.
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

// Drain makes the process report that it is not ready, ahead of Leave.
func (p *Process) Drain() { p.draining.Store(true) }
