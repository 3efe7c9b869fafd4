package shard

import "github.com/agateyard/agateyard/internal/model"

// Filter selects jobs for Table.Jobs. Empty fields select everything.
type Filter struct {
	Workspace string
	Template  string
	State     model.JobState
	Limit     int // greatest number of results; 0 for DefaultJobsLimit
}

// DefaultJobsLimit bounds the result of Table.Jobs without Filter.Limit.
const DefaultJobsLimit = 1000

// selects reports whether the status matches the filter.
func (f Filter) selects(s *model.JobStatus) bool {
	return (f.Workspace == "" || f.Workspace == s.Key.Template.Workspace) &&
		(f.Template == "" || f.Template == s.Key.Template.Name) &&
		(f.State == "" || f.State == s.State)
}
