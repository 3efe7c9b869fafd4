package load

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// maxSamples limits the number of sample messages of errors and of wrong answers
// for each stream and phase.
const maxSamples = 5

// streamStats collects the results of a stream in a phase. It is not safe for
// concurrent use.
type streamStats struct {
	counts  Counts
	reasons map[model.Reason]int
	latency *histogram // of requests that ran or services that run, from the intended send time
	refusal *histogram // of each not-run answer, from the actual send time
	wait    *histogram // of requests, latency minus the requested run time; of jobs, from submission to start
	accept  *histogram // of jobs, from the actual send time to the acceptance
	errors  []string
	wrong   []string
}

// Counts are the numbers of requests of a stream. The verdicts count each
// arrival once: a retry, resend or duplicate is not another request.
type Counts struct {
	Sent        int `json:"sent"`
	Ran         int `json:"ran"`
	NotRun      int `json:"not_run"`
	Unknown     int `json:"unknown"`
	Error       int `json:"error"`
	Running     int `json:"running"`      // services
	Failed      int `json:"failed"`       // requests that ran and whose work failed
	Dropped     int `json:"dropped"`      // not sent, because the limit of outstanding requests was reached
	Retried     int `json:"retried"`      // submitted under a new identifier after Retry-After
	Resent      int `json:"resent"`       // same identifier submitted again after an error
	Repeated    int `json:"repeated"`     // same identifier submitted a second time without waiting for the first answer
	WrongAnswer int `json:"wrong_answer"` // incomplete answer, or answer to another request
}

func (c *Counts) add(o Counts) {
	c.Sent += o.Sent
	c.Ran += o.Ran
	c.NotRun += o.NotRun
	c.Unknown += o.Unknown
	c.Error += o.Error
	c.Running += o.Running
	c.Failed += o.Failed
	c.Dropped += o.Dropped
	c.Retried += o.Retried
	c.Resent += o.Resent
	c.Repeated += o.Repeated
	c.WrongAnswer += o.WrongAnswer
}

func newStreamStats() *streamStats {
	return &streamStats{
		reasons: map[model.Reason]int{}, latency: newHistogram(), refusal: newHistogram(),
		wait: newHistogram(), accept: newHistogram(),
	}
}

// addSubmission records one submission, including those that are retried.
func (s *streamStats) addSubmission(r result) {
	if r.verdict == VerdictNotRun {
		s.refusal.record(r.received.Sub(r.sent))
	}
	if r.accepted > 0 {
		s.accept.record(r.accepted)
	}
	if r.reason != "" {
		s.reasons[r.reason]++
	}
	if r.mismatch != "" {
		s.counts.WrongAnswer++
		s.wrong = appendSample(s.wrong, r.mismatch)
	}
	if r.err != nil {
		s.errors = appendSample(s.errors, r.err.Error())
	}
}

// addRequest records the final result of a request.
func (s *streamStats) addRequest(a arrival, intended time.Time, r result) {
	switch r.verdict {
	case VerdictRan:
		s.counts.Ran++
		latency := r.received.Sub(intended)
		s.latency.record(latency)
		s.wait.record(queueWait(a, latency, r))
		if r.failed {
			s.counts.Failed++
		}
	case VerdictNotRun:
		s.counts.NotRun++
	case VerdictUnknown:
		s.counts.Unknown++
	case VerdictRunning:
		s.counts.Running++
		s.latency.record(r.received.Sub(intended))
	default:
		s.counts.Error++
	}
}

// queueWait returns how long the work waited before it started.
func queueWait(a arrival, latency time.Duration, r result) time.Duration {
	if r.status != nil && !r.status.StartedAt.IsZero() {
		return r.status.StartedAt.Sub(r.status.SubmittedAt)
	}
	return latency - a.runTime
}

func (s *streamStats) merge(o *streamStats) {
	s.counts.add(o.counts)
	for reason, n := range o.reasons {
		s.reasons[reason] += n
	}
	s.latency.merge(o.latency)
	s.refusal.merge(o.refusal)
	s.wait.merge(o.wait)
	s.accept.merge(o.accept)
	for _, e := range o.errors {
		s.errors = appendSample(s.errors, e)
	}
	for _, w := range o.wrong {
		s.wrong = appendSample(s.wrong, w)
	}
}

func (s *streamStats) report(stream *Stream, d time.Duration) StreamReport {
	return StreamReport{
		Stream: stream.Name, Workspace: stream.Workspace, Template: stream.Template,
		Counts: s.counts, Throughput: float64(s.counts.Ran) / d.Seconds(), Reasons: s.reasons,
		Latency: s.latency.summary(), Refusal: s.refusal.summary(), Wait: s.wait.summary(), Accept: s.accept.summary(),
		Errors: s.errors, Wrong: s.wrong,
	}
}

// appendSample appends the text unless the list is full.
func appendSample(list []string, text string) []string {
	if len(list) >= maxSamples {
		return list
	}
	return append(list, text)
}
