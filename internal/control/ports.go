// Package control is the process of a cell: it finds the owner of the work, keeps its state durable, and drives the
// scheduler.
package control

import (
	"context"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// Errors of a Store. Any other error of a write means that it may have been done, now or later.
var (
	ErrNotApplied = errors.New("the store refused the call, nothing was done")
	ErrNoLease    = errors.New("the lease has ended")
	ErrCompacted  = errors.New("this history is no longer available")
)

// Conflict is the error of a commit whose conditions didn't hold.
type Conflict struct {
	Current []Item // of the expected keys
}

// Error implements error.
func (*Conflict) Error() string { return "the store's keys are at other revisions" }

// Item is a key with its value. Rev is 0 if the key doesn't exist.
type Item struct {
	Key     string
	Value   []byte
	Rev     int64
	Deleted bool
}

// Commit is a change that is done whole or not at all.
type Commit struct {
	Expected map[string]int64 // revision by key; 0: the key doesn't exist
	Puts     []Put
	Deletes  []string
}

// Put writes a value; Lease 0 keeps it until it is deleted.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// MaxCommitEntries is the most conditions, writes and deletes of a commit together.
const MaxCommitEntries = 32

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// Range returns all items under a prefix and the revision of the first page.
	Range(ctx context.Context, prefix string) (items []Item, rev int64, err error)
	// Watch returns the changes after a revision, at the latest after wait, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Item, rev int64, err error)
	Commit(ctx context.Context, c Commit) (rev int64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error)
	KeepLease(ctx context.Context, lease int64) error
}

// StartRequest is what a runner needs to start a run.
type StartRequest struct {
	Task       job.TaskID
	Run        int
	Payload    string
	Ticket     string
	Checkpoint string
	Fence      int64
	Lease      time.Duration
}

// PollRequest asks a runner for its runs. It renews their lease if Lease isn't 0.
type PollRequest struct {
	Fence        int64
	Acknowledged int64 // ends up to this number may be forgotten
	Lease        time.Duration
	Wait         time.Duration // for an end
}

// ErrFenced is the error of an order that a runner refused because a newer owner has called it.
var ErrFenced = errors.New("a newer owner has called the runner")

// Runners gives orders to runners.
type Runners interface {
	Start(ctx context.Context, r scheduler.RunnerRef, o StartRequest) (scheduler.StartOutcome, error)
	Stop(ctx context.Context, r scheduler.RunnerRef, task job.TaskID, run int, fence int64) error
	Poll(ctx context.Context, r scheduler.RunnerRef, l PollRequest) (scheduler.Report, error)
}

// Advisor tells which runners may run a step.
type Advisor interface {
	Advise(ctx context.Context, step job.StepID, runners []string) ([]scheduler.EligibleRunner, time.Duration, error)
}

// Directory decodes what the platform stores about runners and configuration.
type Directory interface {
	RunnerPrefix() string
	DecodeRunner(item Item) (scheduler.RunnerInfo, error)
	RunnerID(key string) string
	ConfigKey() string
	DecodeConfig(value []byte) (*CellConfig, error)
}
