// Package gateway serves the HTTP API of callers and operators.
package gateway

import (
	"context"
	"errors"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

// ErrMayHaveRun means that there is no record of a request which may have run, for example
// under a shard owner that died.
var ErrMayHaveRun = errors.New("no record of this request, which may have run")

// Scheduler is the interface of the entry process to the API. Implementations must be
// safe for concurrent use.
type Scheduler interface {
	// Template returns the template in force, or false if there is none.
	Template(id model.TemplateID) (model.Template, bool)
	// GenerateID returns a new UUIDv7 for a request. Unless the ordering key
	// determines the shard, the identifier belongs to a shard that this process owns,
	// if possible.
	GenerateID(t model.TemplateID, orderingKey string) string
	// Submit returns the final reply, or the acceptance of asynchronous work. It
	// returns soon after the context ends, with OutcomeUnknown unless it is certain
	// that the work did not run.
	Submit(ctx context.Context, s model.Submission) model.Reply
	// Status returns false for a request without a record at its shard owner, with
	// ErrMayHaveRun if it may have run all the same, and another error if the owner can't
	// be reached.
	Status(ctx context.Context, key model.RequestKey) (model.JobStatus, bool, error)
	// Cancel cancels the requests and returns one result for each key, in order.
	Cancel(ctx context.Context, keys []model.RequestKey) ([]model.CancelResult, error)
	// Cell returns the state of the cell, as far as its members can be reached.
	Cell(ctx context.Context) CellStatus
	// Jobs returns the jobs that match the filter, from all reachable members.
	Jobs(ctx context.Context, filter JobFilter) ([]model.JobStatus, error)
	// Events returns the merged timeline, limited to one request unless request is
	// empty.
	Events(ctx context.Context, request string) ([]timeline.Event, error)
	// Ready returns nil while the load balancer should send requests to the process, or
	// the reason why it shouldn't. A process that is not ready may still serve requests.
	Ready() error
}

// Config reads and changes the configuration documents. It is implemented by
// configstore.Store.
type Config interface {
	Apply(ctx context.Context, c configstore.Change) (uint64, error)
	Get(ctx context.Context, name string) (configstore.Document, error)
	History(ctx context.Context, name string) ([]configstore.Document, error)
}

// ConfigCache holds the configuration in force at this process. It is implemented by
// configstore.Cache.
type ConfigCache interface {
	Document(name string) (configstore.Document, bool)
	Paused(id model.TemplateID) bool
	Templates() []model.Template
	Revisions() map[string]uint64
}

// JobFilter selects jobs. An empty field matches all jobs.
type JobFilter struct {
	Workspace string
	Template  string
	State     model.JobState
	Limit     int // maximum number of jobs to return
}
