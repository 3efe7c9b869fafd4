// Package gateway serves the HTTP API of callers and operators.
package gateway

import (
	"context"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
)

// Scheduler is the entry process behind the API. It is safe for concurrent use.
type Scheduler interface {
	// Template returns the template in force.
	Template(id model.TemplateID) (model.Template, bool)
	// GenerateID returns a new UUIDv7 for a request, of a shard that this process owns
	// where the ordering key leaves the choice.
	GenerateID(t model.TemplateID, orderingKey string) string
	// Submit returns the final reply, or the acceptance of asynchronous work. It
	// returns soon after the context ends, with OutcomeUnknown unless it is certain
	// that the work did not run.
	Submit(ctx context.Context, s model.Submission) model.Reply
	// Status returns false for a request that no shard owner knows, and an error
	// when the owner can't be asked.
	Status(ctx context.Context, key model.RequestKey) (model.JobStatus, bool, error)
	// Cancel returns one result for each key, in their order.
	Cancel(ctx context.Context, keys []model.RequestKey) ([]model.CancelResult, error)
	// Cell returns the state of the cell as far as it can be reached.
	Cell(ctx context.Context) CellStatus
	// Jobs returns the jobs that the filter selects, from all reachable members.
	Jobs(ctx context.Context, filter JobFilter) ([]model.JobStatus, error)
	// Events returns the merged timeline, of one request unless it is empty.
	Events(ctx context.Context, request string) ([]timeline.Event, error)
	// Ready returns nil while the process takes requests, else the reason.
	Ready() error
}

// Config changes and reads the operators' documents. configstore.Store is one.
type Config interface {
	Apply(ctx context.Context, c configstore.Change) (uint64, error)
	Get(ctx context.Context, name string) (configstore.Document, error)
	History(ctx context.Context, name string) ([]configstore.Document, error)
}

// ConfigCache is the configuration in force at this process. configstore.Cache is one.
type ConfigCache interface {
	Document(name string) (configstore.Document, bool)
	Paused(id model.TemplateID) bool
	Templates() []model.Template
	Revisions() map[string]uint64
}

// JobFilter selects jobs. Empty fields select everything.
type JobFilter struct {
	Workspace string
	Template  string
	State     model.JobState
	Limit     int // most jobs to return
}
