package entry

import (
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

// Header is part of every message between entry processes.
type Header struct {
	From string             // incarnation of the sender
	View uint64             // number of the view that the sender holds
	Time timeline.Timestamp // hybrid logical time of the sender
}

// SubmitArgs carries a submission to the shard owner.
type SubmitArgs struct {
	Header
	Submission model.Submission
}

// SubmitReply answers SubmitArgs.
type SubmitReply struct {
	Header
	Reply model.Reply
}

// DemandArgs states the work that waits at a shard owner, per pool.
type DemandArgs struct {
	Header
	Seq   uint64 // grows with every message of the sender
	Pools []PoolDemand
}

// PoolDemand is the demand on one pool. It replaces what was stated before.
type PoolDemand struct {
	Pool    model.PoolID
	Demands []model.Demand
}

// GrantsArgs delivers a batch of grants to a shard owner.
type GrantsArgs struct {
	Header
	Grants []model.Grant
}

// ReturnArgs gives unused grants back.
type ReturnArgs struct {
	Header
	Grants []GrantRef
}

// GrantRef names a grant at its pool owner.
type GrantRef struct {
	Pool model.PoolID
	ID   uint64
}

// HoldArgs asks for part of the room for a gang that spans pools.
type HoldArgs struct {
	Header
	Pool      model.PoolID
	Template  model.TemplateID
	Resources model.Resources
	Tasks     int
}

// HoldReply answers HoldArgs.
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
	Request     string // identifier of the request, for the time line
	Attempts    []model.AttemptID
	ContentType string
	Body        []byte
}

// DispatchReply tells how far the attempts came.
type DispatchReply struct {
	Header
	Settled []model.Settled   // attempts whose end is known
	Started []model.AttemptID // tasks that run; their end comes by Shard.Ended
	Lost    []model.AttemptID // sent, end not known yet; it comes by Shard.Ended
}

// EndedArgs delivers ends of attempts to a shard owner.
type EndedArgs struct {
	Header
	Settled []model.Settled
}

// CancelArgs cancels requests at their shard owner.
type CancelArgs struct {
	Header
	Keys []model.RequestKey
}

// CancelReply answers CancelArgs.
type CancelReply struct {
	Header
	Results []model.CancelResult
}

// StatusArgs asks for the status of a request.
type StatusArgs struct {
	Header
	Key model.RequestKey
}

// StatusReply answers StatusArgs.
type StatusReply struct {
	Header
	Found  bool
	Status model.JobStatus
}

// StopAttemptsArgs asks a pool owner to cancel attempts.
type StopAttemptsArgs struct {
	Header
	Pool     model.PoolID
	Attempts []model.AttemptID
}

// AttemptsArgs asks a pool owner for what it knows of the attempts of shards.
type AttemptsArgs struct {
	Header
	Latest model.View // the receiver installs it when it is newer than its own
	Pool   model.PoolID
	Shards []model.ShardID
}

// AttemptsReply answers AttemptsArgs.
type AttemptsReply struct {
	Header
	Complete bool // every endpoint has reported under the token, or is unreachable
	Attempts []model.AttemptState
	Reported map[string]string // instances of endpoints that have reported under the token
	// Unreachable are endpoints that the owner failed to take over.
	Unreachable []string
}

// ClaimArgs asks a process to hand over shards.
type ClaimArgs struct {
	Header
	Latest model.View // the receiver installs it when it is newer than its own
	Shards []model.ShardID
}

// ClaimReply answers ClaimArgs. Shards not listed are not held by the process.
type ClaimReply struct {
	Header
	Exports []byte // gob of the states that the process holds
}

// ReleasedArgs tells the former owner that handed-over state is recorded by the new one.
type ReleasedArgs struct {
	Header
	Shards []model.ShardID
}

// Empty is the reply of calls that have nothing to say.
type Empty struct {
	Header
}
