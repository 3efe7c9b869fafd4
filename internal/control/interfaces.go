// Package control implements a process of a cell. The processes of a cell elect one of them as the owner (the leader),
// which runs the scheduler, keeps its state durable in the store, and sends requests to the runners. The other processes
// forward their callers' requests to the owner.
package control

import (
	"context"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// Errors of a Store. Any other error of a write, except a Conflict, means that it may have been applied or may still be
// applied later.
var (
	ErrNotApplied = errors.New("the store refused the call and changed nothing")
	ErrNoLease    = errors.New("the lease has expired")
	ErrCompacted  = errors.New("the requested revision has been compacted")
)

// Conflict is the error of a commit whose expected revisions didn't match; nothing was changed.
type Conflict struct {
	Current []Item // of the expected keys
}

// Error implements error.
func (*Conflict) Error() string { return "keys in the store are not at the expected revisions" }

// Item is a key with its value. Rev is 0 if the key doesn't exist.
type Item struct {
	Key     string
	Value   []byte
	Rev     int64
	ReadRev int64 // revision of the store when Get read the item; 0 if it isn't known
	Deleted bool
}

// Page is a part of the items under a prefix.
type Page struct {
	Items []Item
	Rev   int64  // revision of the store at which the page was read
	Next  string // key after which the next page begins, above that of this page; empty if this is the last one
}

// Commit is an atomic change of several keys.
type Commit struct {
	Expected map[string]int64 // revision by key; 0: the key doesn't exist
	Puts     []Put
	Deletes  []string
}

// Put writes a value. The key is deleted when the lease expires; with Lease 0 it stays until it is deleted explicitly.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// MaxCommitEntries bounds the total number of conditions, writes and deletes of a commit.
const MaxCommitEntries = 32

// Store is the key-value service of the users' platform.
type Store interface {
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// Range returns the items under a prefix whose keys follow after, in the order of their keys, as many as fit into a page.
	// It fails when nothing of the answer has arrived for a while, however long the whole answer takes.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision and the revision to continue from. It waits for a change, but not longer
	// than wait.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Item, rev int64, err error)
	Commit(ctx context.Context, c Commit) (rev int64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error)
	KeepLease(ctx context.Context, lease int64) error
}

// StartRequest asks a runner to start a run.
type StartRequest struct {
	Task       job.TaskID
	Run        int
	Payload    string
	Ticket     string
	Checkpoint string
	Fence      int64
	LeaseEnd   int64 // end of the lease of all runs there, in milliseconds on the runner's clock
}

// PollRequest asks a runner for its current and ended runs. It renews the lease of the runs if LeaseEnd isn't 0.
type PollRequest struct {
	Fence        int64
	Acknowledged int64         // the runner may discard run ends up to this number, if it is the incarnation that is polled
	LeaseEnd     int64         // in milliseconds on the runner's clock
	Wait         time.Duration // how long the runner may wait for a run to end before it answers
	Identify     bool          // a new connection is identified before the poll, which then carries its lease
}

// ErrFenced is the error of a request that a runner refused because it has seen one with a higher fence, of a newer owner or a later
// one of the same owner.
var ErrFenced = errors.New("the runner has seen a newer owner")

// Runners sends requests to runners. A request is for the incarnation that the reference names: Start and Stop fail with
// ErrOtherIncarnation, without an effect, if another one would get them.
type Runners interface {
	Start(ctx context.Context, r scheduler.RunnerRef, req StartRequest) (scheduler.StartOutcome, error)
	Stop(ctx context.Context, r scheduler.RunnerRef, req StopRequest) error
	// Poll sends the acknowledgement and the lease only if no other incarnation can receive them, otherwise the poll without them,
	// which doesn't wait, and says so in the report.
	Poll(ctx context.Context, r scheduler.RunnerRef, req PollRequest) (scheduler.Report, error)
	// LeaseEnd returns when a lease that starts now ends, on the runner's clock; 0 if the clock is not known.
	LeaseEnd(r scheduler.RunnerRef, lease time.Duration) int64
	// RecordClock records a reading of the runner's clock that another process has received.
	RecordClock(r scheduler.RunnerRef, incarnation, reading int64)
}

// Advisor is the client of the advice service, which decides which runners are eligible for a step.
type Advisor interface {
	// Advise returns the eligible ones of the runners and how long the advice stays valid.
	Advise(ctx context.Context, step job.StepID, runners []string) ([]scheduler.EligibleRunner, time.Duration, error)
}

// Directory decodes the entries of runners and the configuration in the users' platform's store.
type Directory interface {
	RunnerPrefix() string
	DecodeRunner(item Item) (scheduler.RunnerInfo, error)
	RunnerID(key string) string
	ConfigKey() string
	DecodeConfig(value []byte) (*CellConfig, error)
}
