package shard

import (
	"cmp"
	"slices"
)

// earliestJobs collects the requests that were submitted first. It sorts at most twice its
// limit at a time, so that listing a long queue stays cheap.
type earliestJobs struct {
	limit  int
	jobs   []*job
	latest *job // last request kept by truncate; later ones are not included. nil before truncate reaches the limit
}

// mayInclude reports whether the request may be among the earliest.
func (f *earliestJobs) mayInclude(j *job) bool {
	return f.latest == nil || compareSubmitted(j, f.latest) < 0
}

// add adds a request.
func (f *earliestJobs) add(j *job) {
	f.jobs = append(f.jobs, j)
	if len(f.jobs) >= 2*f.limit {
		f.truncate()
	}
}

// truncate sorts the requests and drops those beyond the limit.
func (f *earliestJobs) truncate() {
	slices.SortFunc(f.jobs, compareSubmitted)
	if len(f.jobs) < f.limit {
		return
	}
	f.jobs = f.jobs[:f.limit]
	f.latest = f.jobs[f.limit-1]
}

// compareSubmitted orders requests by submission time, then by arrival.
func compareSubmitted(a, b *job) int {
	return cmp.Or(a.submitted.Compare(b.submitted), cmp.Compare(a.seq, b.seq))
}
