package control

import (
	"time"

	"github.com/agateyard/agateyard/internal/candidacy"
	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// OwnerInfo identifies the owner of the cell. Term counts ownerships. Rev is the store revision of the claim; it is the
// fencing token of the owner's requests to runners.
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
	Weight      int     // CPU in millicores
	LinkMbps    float64 // 0 from processes of earlier builds
	MemoryMB    int
	Descriptors int
	Leaving     bool
}

// candidate returns what decides whether the process may own the cell.
func (m Member) candidate() candidacy.Candidate {
	return candidacy.Candidate{
		Incarnation: m.Incarnation, Address: m.Address,
		Machine: candidacy.Machine{CPU: m.Weight, LinkMbps: m.LinkMbps, MemoryMB: m.MemoryMB, Descriptors: m.Descriptors},
	}
}

// PingArgs is sent by every process to the owner at regular intervals, and to other processes to search for the owner or
// to announce a new one.
type PingArgs struct {
	From          string
	Address       string
	Owner         OwnerInfo // as known to the caller
	Leaving       bool
	WantMembers   bool // the caller can't read them from the store
	ConfigVersion int64
	Interval      time.Duration // pause until the caller's next ping; 0 from older processes means pingInterval
	FreshConfig   bool          // the configuration is to be read from the store before the reply
}

// PingReply is a process's knowledge of the cell.
type PingReply struct {
	Incarnation string
	Owner       OwnerInfo // as known to the process
	IsOwner     bool
	BegunTerm   int64 // term of the last ownership that the process has started
	StoreOK     bool
	Leaving     bool
	Load        candidacy.Load // of the owner, also as known to another process; zero from earlier builds
	Members     []Member       // only if they were requested
	Loaded      bool           // the owner has loaded the durable state
	Pending     map[string]int // jobs that have not started, by queue
	PendingAge  time.Duration  // since they were counted; 0 from earlier builds
	Config      []byte         // only if newer than the caller's

	// ConfigAge is the time since ConfigVersion was confirmed as the newest. Older processes send none of the three.
	ConfigConfirmed bool
	ConfigVersion   int64
	ConfigAge       time.Duration

	// Set by the sender of the ping, and not encoded.
	sentAt time.Duration
	sentTo string // address
}

// OwnerLostArgs asks whether the owner of a term can't be reached.
type OwnerLostArgs struct{ Term int64 }

// OwnerLostReply answers OwnerLostArgs.
type OwnerLostReply struct {
	Lost    bool
	Abstain bool // the voter doesn't know this term yet
}

// TakeOverArgs asks a process to take over from the owner of the given term.
type TakeOverArgs struct{ Term int64 }

// SubmitArgs sends a job to the owner.
type SubmitArgs struct {
	Spec   job.Spec
	Caller Caller
	Within time.Duration // how long the owner may wait until the job is stored
}

// SubmitReply is the result of a submission or cancellation.
type SubmitReply struct {
	Outcome       Outcome
	RetryAfter    time.Duration // of OutcomeOverLimit and OutcomeRefused; 0 from owners of earlier builds
	ConfigVersion int64         // in force at the owner; 0 from older processes
}

// Outcome of a submission or cancellation.
type Outcome int

// Outcomes. OutcomeUnknown means that the job or the cancellation may or may not have been stored.
const (
	OutcomeUnknown Outcome = iota
	OutcomeStored
	OutcomeRefused // certain: not stored, by this or an earlier request for the job
	OutcomeNoJob
	OutcomeNotOwner   // certain: nothing done, the process is not the owner
	OutcomeOverLimit  // certain: not stored, the tenant's limits don't admit the job now
	OutcomeKeyUnknown // certain: nothing done, a newer configuration doesn't admit the caller
	OutcomeNotYours   // certain: nothing done, the job belongs to another tenant
	OutcomeUnreadable // nothing done; the job has a record that can't be read, so what became of earlier requests isn't known
)

// isRefusal reports whether the owner certainly did nothing because of the request itself.
func (o Outcome) isRefusal() bool {
	switch o {
	case OutcomeRefused, OutcomeOverLimit, OutcomeKeyUnknown, OutcomeNotYours:
		return true
	default:
		return false
	}
}

// JobArgs identifies a job, and the caller who queries or cancels it.
type JobArgs struct {
	ID     string
	Caller Caller
	Within time.Duration // how long the owner may take; 0 from processes of earlier builds
}

// StateReply is the state of a job.
type StateReply struct {
	Owner bool // false: the process is not the owner, has not loaded the durable state, or can't answer in time
	Known bool
	State job.State
	// Refusal is OutcomeKeyUnknown or OutcomeNotYours if the caller may not access the job.
	Refusal       Outcome
	ConfigVersion int64 // in force at the owner; 0 from older processes
}

// AdviseArgs asks a process to call the advice service within a time limit.
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
	OutcomeNotOwner: "not-owner", OutcomeOverLimit: "over-limit", OutcomeKeyUnknown: "key-unknown", OutcomeNotYours: "not-yours",
	OutcomeUnreadable: "unreadable",
}

// String returns the outcome's name for logs.
func (o Outcome) String() string { return outcomeNames[o] }
