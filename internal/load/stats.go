package load

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// maxSamples bounds the kept texts of errors and wrong answers of a stream and phase.
const maxSamples = 5

// streamStats collects the results of a stream in a phase. The caller locks.
type streamStats struct {
	counts  Counts
	reasons map[model.Reason]int
	latency *histogram // of final answers that ran, from the intended send time
	refusal *histogram // of single not-run answers, from the actual send time
	wait    *histogram // latency less the run time that was asked for; of jobs, from submission to start
	accept  *histogram // of jobs, from the actual send time to the acceptance
	errors  []string
	wrong   []string
}

// Counts are the numbers of requests of a stream. The verdicts count each
// intended request once; a repeat is not another request.
type Counts struct {
	Sent        int `json:"sent"`
	Ran         int `json:"ran"`
	NotRun      int `json:"not_run"`
	Unknown     int `json:"unknown"`
	Error       int `json:"error"`
	Running     int `json:"running"`      // services
	Failed      int `json:"failed"`       // of those that ran: the work itself failed
	Dropped     int `json:"dropped"`      // not sent by this generator, which was at its limit
	Retried     int `json:"retried"`      // new requests after a Retry-After
	Resent      int `json:"resent"`       // same identifier again after an error
	Repeated    int `json:"repeated"`     // same identifier at the same time
	WrongAnswer int `json:"wrong_answer"` // not the whole answer to the request
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

// single records one submission, whether or not it is the last of its request.
func (s *streamStats) single(r result) {
	if r.verdict == VerdictNotRun {
		s.refusal.record(r.received.Sub(r.sent))
	}
	if r.accepted > 0 {
		s.accept.record(r.accepted)
	}
	if r.reason != "" {
		s.reasons[r.reason]++
	}
	if r.wrong != "" {
		s.counts.WrongAnswer++
		s.wrong = sample(s.wrong, r.wrong)
	}
	if r.err != nil {
		s.errors = sample(s.errors, r.err.Error())
	}
}

// final records the end of a request that was due at the intended time.
func (s *streamStats) final(a arrival, intended time.Time, r result) {
	switch r.verdict {
	case VerdictRan:
		s.counts.Ran++
		latency := r.received.Sub(intended)
		s.latency.record(latency)
		s.wait.record(waited(a, latency, r))
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

// waited returns how long the work waited before it ran.
func waited(a arrival, latency time.Duration, r result) time.Duration {
	if r.status != nil && !r.status.StartedAt.IsZero() {
		return r.status.StartedAt.Sub(r.status.SubmittedAt)
	}
	return latency - a.run
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
		s.errors = sample(s.errors, e)
	}
	for _, w := range o.wrong {
		s.wrong = sample(s.wrong, w)
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

// sample keeps the first texts.
func sample(list []string, text string) []string {
	if len(list) >= maxSamples {
		return list
	}
	return append(list, text)
}
