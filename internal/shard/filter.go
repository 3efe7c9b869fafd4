package shard

import "github.com/agateyard/agateyard/internal/model"

// Filter selects jobs for Table.Jobs. Empty fields match everything.
type Filter struct {
	Workspace string
	Template  string
	State     model.JobState
	Limit     int // maximum number of results; 0 for DefaultJobsLimit
}

// DefaultJobsLimit bounds the result of Table.Jobs without Filter.Limit.
const DefaultJobsLimit = 1000

// limit returns the maximum number of results.
func (f Filter) limit() int {
	if f.Limit <= 0 {
		return DefaultJobsLimit
	}
	return f.Limit
}

// selects reports whether the request matches the filter.
func (f Filter) selects(j *job) bool {
	id := j.key.Template
	return (f.Workspace == "" || f.Workspace == id.Workspace) &&
		(f.Template == "" || f.Template == id.Name) &&
		(f.State == "" || f.State == j.state())
}
