package control

import (
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// OwnerInfo names the owner of the work. Term counts ownerships; Rev is the store's revision of the claim and fences
// its orders.
type OwnerInfo struct {
	Term        int64
	Rev         int64 `json:"-"`
	Incarnation string
	Address     string
}

// Member is a process of the cell.
type Member struct {
	Incarnation string
	Name        string
	Address     string
	Zone        string
	Weight      int
	Leaving     bool
}

// PingArgs is sent by every process to the owner.
type PingArgs struct {
	From          string
	Address       string
	Owner         OwnerInfo // that the caller believes in
	Leaving       bool
	WantMembers   bool // the caller can't read them in the store
	ConfigVersion int64
}

// PingReply is what a process knows.
type PingReply struct {
	Incarnation string
	Owner       OwnerInfo // that the process believes in
	IsOwner     bool
	BegunTerm   int64 // term of the last ownership that the process has begun
	StoreOK     bool
	Members     []Member       // if they were wanted
	Loaded      bool           // the owner has loaded the durable state
	Pending     map[string]int // jobs that wait, by queue
	Config      []byte         // only if newer than the caller's
}

// OwnerLostArgs asks whether the owner of a term can't be reached.
type OwnerLostArgs struct{ Term int64 }

// OwnerLostReply answers OwnerLostArgs.
type OwnerLostReply struct {
	Lost    bool
	Abstain bool // the voter doesn't know this term yet
}

// TakeOverArgs asks a process to become the owner after the given term.
type TakeOverArgs struct{ Term int64 }

// SubmitArgs hands a job to the owner.
type SubmitArgs struct {
	Spec   job.Spec
	Within time.Duration // the caller waits this long
}

// SubmitReply tells what became of a submission or a cancellation.
type SubmitReply struct{ Outcome Outcome }

// Outcome of a submission or cancellation.
type Outcome int

// Outcomes. OutcomeUnknown says that it may have been stored.
const (
	OutcomeUnknown Outcome = iota
	OutcomeStored
	OutcomeRefused // certain: not stored
	OutcomeNoJob
	OutcomeNotOwner // certain: nothing done, another process owns the work
)

// JobArgs names a job.
type JobArgs struct{ ID string }

// StateReply is the state of a job.
type StateReply struct {
	Owner bool // false: the process doesn't own the work
	Known bool
	State job.State
}

// AdviseArgs asks a process to call the advice service.
type AdviseArgs struct {
	Step    job.StepID
	Runners []string
	Within  time.Duration
}

// AdviseReply is the answer of the advice service.
type AdviseReply struct {
	Good  []scheduler.EligibleRunner
	Valid time.Duration
}

// Empty is a message without content.
type Empty struct{}

var outcomeNames = map[Outcome]string{
	OutcomeUnknown: "unknown", OutcomeStored: "stored", OutcomeRefused: "refused", OutcomeNoJob: "no-job",
	OutcomeNotOwner: "not-owner",
}

// String returns the outcome's name for logs.
func (o Outcome) String() string { return outcomeNames[o] }
