package pool

import (
	"math/rand"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// Pool is the state of one pool at its owner.
type Pool struct{}

// New returns a pool without endpoints. The token is the number of the view in
// which the owner took the pool.
func New(id model.PoolID, owner string, token uint64, cfg Config, rnd *rand.Rand) *Pool {
	return &Pool{}
}

// SetTemplates replaces all templates.
func (p *Pool) SetTemplates(now time.Time, templates map[model.TemplateID]model.Template) {}

// AddEndpoint adds an endpoint of the VM list. It gets no grant before its first Report.
func (p *Pool) AddEndpoint(now time.Time, id string) {}

// EndpointsListed records that the VM list was applied in full. Attempts is not complete before.
func (p *Pool) EndpointsListed() {}

// SetLeaving marks an endpoint as leaving: it gets no grant, and its unused grants are void.
func (p *Pool) SetLeaving(now time.Time, id string, leaving bool) {}

// RemoveEndpoint removes an endpoint that is no longer listed, once its attempts are settled.
func (p *Pool) RemoveEndpoint(now time.Time, id string) {}

// Endpoints returns the endpoints in order, removed ones with unsettled attempts included.
func (p *Pool) Endpoints() []string { return nil }

// NextSession returns the session call to send to the endpoint, or false when
// none should be sent now: the lease is being left to lapse, a call is under
// way, or the endpoint is unknown. Every call must end in Report or SessionFailed.
func (p *Pool) NextSession(now time.Time, id string) (endpoint.SessionRequest, bool) {
	return endpoint.SessionRequest{}, false
}

// Report handles the reply to a session call that was sent at the given time.
func (p *Pool) Report(now time.Time, id string, sent time.Time, r endpoint.SessionReply) Effects {
	return Effects{}
}

// SessionFailed handles a session call without a reply.
func (p *Pool) SessionFailed(now time.Time, id string, err error) Effects { return Effects{} }

// SetDemand replaces the demand of a shard owner. Count is the number of jobs
// that wait there and are not dispatched, those included for which a grant is
// under way. A message with a sequence number that is not higher is ignored.
func (p *Pool) SetDemand(now time.Time, from string, seq uint64, demand []model.Demand) {}

// DropDemand removes the demand of a shard owner that has left.
func (p *Pool) DropDemand(from string) {}

// Schedule issues all grants that are possible now.
func (p *Pool) Schedule(now time.Time) []Assigned { return nil }

// Hold reserves the tasks of a part of a gang that spans pools, all or none.
func (p *Pool) Hold(now time.Time, from string, template model.TemplateID, resources model.Resources, tasks int) (model.Grant, bool) {
	return model.Grant{}, false
}

// Begin uses a grant: one attempt per endpoint of the grant. The returned
// starts must be sent at once. After ErrGrantVoid nothing has started.
func (p *Pool) Begin(now time.Time, grantID uint64, attempts []model.AttemptID) ([]StartOrder, error) {
	return nil, ErrGrantVoid
}

// Finished handles the result of a start call.
func (p *Pool) Finished(now time.Time, attempt model.AttemptID, r StartResult) Effects {
	return Effects{}
}

// Return releases a grant that the shard owner does not need.
func (p *Pool) Return(now time.Time, grantID uint64) {}

// Cancel returns the command that cancels an unsettled attempt.
func (p *Pool) Cancel(now time.Time, attempt model.AttemptID) (CancelOrder, bool) {
	return CancelOrder{}, false
}

// Cancelled handles the result of a cancel command. An attempt that had not
// started is settled as not started.
func (p *Pool) Cancelled(now time.Time, attempt model.AttemptID, started bool, err error) Effects {
	return Effects{}
}

// Delivered records that the shard owners have the ends of the attempts. Only
// then are they acknowledged to the endpoint, so that a successor still finds
// every end that was not delivered.
func (p *Pool) Delivered(now time.Time, attempts []model.AttemptID) {}

// Attempts returns the attempts of the shards, unsettled or settled lately.
// It is complete when every endpoint has reported under this owner's token or
// is in Unreachable.
func (p *Pool) Attempts(shards map[model.ShardID]bool) (states []model.AttemptState, complete bool) {
	return nil, false
}

// Reported returns the endpoints that have reported under this owner's token, in order.
func (p *Pool) Reported() []string { return nil }

// Unreachable returns the endpoints that could not be reached, in order. What
// was dispatched to them by an earlier owner is unknown.
func (p *Pool) Unreachable() []string { return nil }

// Tick handles the passing of time: void grants, lapsed leases, waiting urgent
// work, probes. It is to be called at least every 100 ms.
func (p *Pool) Tick(now time.Time) Effects { return Effects{} }

// Summary returns the summary for gossip.
func (p *Pool) Summary(now time.Time) model.PoolSummary { return model.PoolSummary{} }

// Predict returns what is expected of a task of the template.
func (p *Pool) Predict(template model.TemplateID) Prediction { return Prediction{} }

// Broken reports whether the template fails on several endpoints.
func (p *Pool) Broken(template model.TemplateID) bool { return false }
