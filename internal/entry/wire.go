package entry

import (
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

// Header is part of every message between entry processes. Only the argument of
// Peer.View leaves it empty.
type Header struct {
	From string             // incarnation of the sender
	View uint64             // number of the sender's view
	Time timeline.Timestamp // hybrid logical clock of the sender
}

// SubmitArgs carries a submission to the shard owner.
type SubmitArgs struct {
	Header
	Submission model.Submission
}

// SubmitReply is the reply to SubmitArgs.
type SubmitReply struct {
	Header
	Reply model.Reply
}

// DemandArgs reports the waiting work of a shard owner, by pool.
type DemandArgs struct {
	Header
	Seq   uint64 // increases with every message of the sender
	Pools []PoolDemand
}

// PoolDemand is the demand on one pool. It replaces the previous demand of the
// sender.
type PoolDemand struct {
	Pool    model.PoolID
	Demands []model.Demand
}

// GrantsArgs delivers a batch of grants to a shard owner.
type GrantsArgs struct {
	Header
	Grants []model.Grant
}

// ReturnArgs returns unused grants.
type ReturnArgs struct {
	Header
	Grants []GrantRef
}

// GrantRef identifies a grant at its pool owner.
type GrantRef struct {
	Pool model.PoolID
	ID   uint64
}

// HoldArgs requests a reservation for one part of a gang that spans pools.
type HoldArgs struct {
	Header
	Pool      model.PoolID
	Template  model.TemplateID
	Resources model.Resources
	Tasks     int
}

// HoldReply is the reply to HoldArgs.
type HoldReply struct {
	Header
	Held  bool
	Grant model.Grant
}

// DispatchArgs starts the attempts of a grant.
type DispatchArgs struct {
	Header
	Grant       GrantRef
	Shard       model.ShardID
	Template    model.TemplateID
	Request     string // identifier of the request, for the timeline
	Attempts    []model.AttemptID
	ContentType string
	Body        []byte
}

// DispatchReply returns the state of the dispatched attempts.
type DispatchReply struct {
	Header
	Settled []model.Settled   // attempts whose completion is known
	Started []model.AttemptID // running tasks; the completion follows in Shard.Ended
	Lost    []model.AttemptID // sent, completion not known yet; it follows in Shard.Ended
}

// EndedArgs delivers attempt completions to a shard owner.
type EndedArgs struct {
	Header
	Settled []model.Settled
}

// CancelArgs cancels requests at their shard owner.
type CancelArgs struct {
	Header
	Keys []model.RequestKey
}

// CancelReply is the reply to CancelArgs.
type CancelReply struct {
	Header
	Results []model.CancelResult
}

// StatusArgs queries the status of a request.
type StatusArgs struct {
	Header
	Key model.RequestKey
}

// StatusReply is the reply to StatusArgs.
type StatusReply struct {
	Header
	Found      bool
	Status     model.JobStatus
	MayHaveRun bool // not found, but the request may have run
}

// StopAttemptsArgs requests a pool owner to cancel attempts.
type StopAttemptsArgs struct {
	Header
	Pool     model.PoolID
	Attempts []model.AttemptID
}

// AttemptsArgs queries a pool owner for the attempts of shards.
type AttemptsArgs struct {
	Header
	Latest model.View // the receiver installs it when it is newer than its own
	Pool   model.PoolID
	Shards []model.ShardID
}

// AttemptsReply is the reply to AttemptsArgs.
type AttemptsReply struct {
	Header
	Complete bool // every endpoint has reported under the owner's token, or is unreachable
	Attempts []model.AttemptState
	Reported map[string]string // instances of the endpoints that have reported under the owner's token
	// Unreachable lists the endpoints that the owner failed to take over.
	Unreachable []string
}

// ClaimArgs requests a process to hand over shards.
type ClaimArgs struct {
	Header
	Latest model.View // the receiver installs it when it is newer than its own
	Shards []model.ShardID
}

// ClaimReply is the reply to ClaimArgs. The process does not hold shards that are
// not listed.
type ClaimReply struct {
	Header
	Exports []byte // gob encoding of []shardExport
}

// ReleasedArgs tells the previous owner of shards that the new owner has recorded
// their state.
type ReleasedArgs struct {
	Header
	Shards []model.ShardID
	Epoch  uint64 // of the new ownership
}

// Empty is the argument or reply of calls without data.
type Empty struct {
	Header
}
