package shard

import (
	"cmp"
	"slices"
)

// firstJobs collects the requests that were submitted first. It sorts only
// twice its limit at a time, so that a listing of a long queue stays cheap.
type firstJobs struct {
	limit int
	jobs  []*job
	last  *job // no later request is wanted; nil until the limit is reached
}

// wants reports whether the request may be among the first.
func (f *firstJobs) wants(j *job) bool {
	return f.last == nil || compareSubmitted(j, f.last) < 0
}

// add takes a request.
func (f *firstJobs) add(j *job) {
	f.jobs = append(f.jobs, j)
	if len(f.jobs) >= 2*f.limit {
		f.cut()
	}
}

// cut sorts the requests and drops those beyond the limit.
func (f *firstJobs) cut() {
	slices.SortFunc(f.jobs, compareSubmitted)
	if len(f.jobs) < f.limit {
		return
	}
	f.jobs = f.jobs[:f.limit]
	f.last = f.jobs[f.limit-1]
}

// compareSubmitted orders requests by submission.
func compareSubmitted(a, b *job) int {
	return cmp.Or(a.submitted.Compare(b.submitted), cmp.Compare(a.seq, b.seq))
}
