package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

// retryJitter is the maximum jitter, as a fraction of Retry-After, so that
// refused clients don't all retry at the same time.
const retryJitter = 0.2

// run is a load test in progress.
type run struct {
	scenario Scenario
	client   *apiClient
	slots    chan struct{} // limits the outstanding requests
	wg       sync.WaitGroup

	mu          sync.Mutex
	stats       [][]*streamStats // indexed by phase and stream
	lag         *histogram
	submissions []submission
	faults      []FaultReport
}

// Options configure a load test in addition to the scenario.
type Options struct {
	Effects []string      // addresses of effect logs to check after the load
	Settle  time.Duration // wait before reading the effect logs, to include work that starts after its answer
}

// Run sends the load of the scenario and returns when every request has a
// verdict. If opts has addresses of effect logs, it then checks the invariants.
func Run(ctx context.Context, s Scenario, opts Options) (Report, error) {
	if err := s.Validate(); err != nil {
		return Report{}, err
	}
	if len(s.Entries) == 0 {
		return Report{}, errors.New("no entry addresses")
	}
	r := newRun(s)
	defer r.client.close()
	started := time.Now()
	r.send(ctx, started)
	rep := r.report(started)
	if len(opts.Effects) == 0 || !ctxtime.Sleep(ctx, opts.Settle) {
		return rep, ctx.Err()
	}
	logs, err := fetchEffects(ctx, opts.Effects)
	if err != nil {
		return rep, err
	}
	rep.Effects = checkEffects(r.submissions, logs, len(opts.Effects))
	return rep, ctx.Err()
}

func newRun(s Scenario) *run {
	r := &run{
		scenario: s, client: newAPIClient(s.Entries, s.MaxOutstanding),
		slots: make(chan struct{}, s.MaxOutstanding), lag: newHistogram(),
	}
	for range s.Phases {
		row := make([]*streamStats, len(s.Streams))
		for i := range row {
			row[i] = newStreamStats()
		}
		r.stats = append(r.stats, row)
	}
	return r
}

// send runs the phases, injects the faults and waits until all requests have
// completed.
func (r *run) send(ctx context.Context, started time.Time) {
	for _, f := range r.scenario.Faults {
		r.wg.Go(func() { r.applyFault(ctx, f) })
	}
	phaseStart := started
	for p := range r.scenario.Phases {
		var phase sync.WaitGroup
		for i := range r.scenario.Streams {
			phase.Go(func() { r.sendStream(ctx, phaseStart, p, i) })
		}
		phase.Wait()
		phaseStart = phaseStart.Add(r.scenario.Phases[p].Duration.D())
		ctxtime.Sleep(ctx, time.Until(phaseStart))
	}
	r.wg.Wait()
}

// sendStream sends the requests of a stream in a phase at their intended times. The
// load is open-loop: sending never waits for answers.
func (r *run) sendStream(ctx context.Context, phaseStart time.Time, phase, index int) {
	arrivals := newArrivals(r.scenario, phase, &r.scenario.Streams[index])
	stats := r.stats[phase][index]
	for {
		a, ok := arrivals.next()
		if !ok {
			return
		}
		intended := phaseStart.Add(a.offset)
		if d := time.Until(intended); d > 0 && !ctxtime.Sleep(ctx, d) {
			return
		}
		r.mu.Lock()
		stats.counts.Sent++
		r.lag.record(time.Since(intended))
		r.mu.Unlock()
		select {
		case r.slots <- struct{}{}:
		default:
			r.mu.Lock()
			stats.counts.Sent--
			stats.counts.Dropped++
			r.mu.Unlock()
			continue
		}
		r.wg.Go(func() {
			defer func() { <-r.slots }()
			r.runRequest(ctx, stats, a, intended)
		})
	}
}

// runRequest sends one request, with retries, and records its result.
func (r *run) runRequest(ctx context.Context, stats *streamStats, a arrival, intended time.Time) {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(a.stream.Limit.D()))
	defer cancel()
	var res result
	for try := 0; ; try++ {
		res = r.submitWithIdentifier(ctx, stats, a)
		backoff := res.retryAfter + time.Duration(rand.Float64()*retryJitter*float64(res.retryAfter))
		if res.verdict != VerdictNotRun || res.retryAfter == 0 || try >= a.stream.Retries || !ctxtime.Sleep(ctx, backoff) {
			break
		}
		// A retry uses a new identifier, since the result of the old one is final.
		a.echo = newEcho()
		a.entry++
		a.duplicate = false
		r.mu.Lock()
		stats.counts.Retried++
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stats.addRequest(a, intended, res)
}

// submitWithIdentifier submits the request under one identifier, and again after
// errors. If duplicate is set for the arrival, it also submits the same identifier a
// second time without waiting for the first answer.
func (r *run) submitWithIdentifier(ctx context.Context, stats *streamStats, a arrival) result {
	id, err := r.client.identifier(ctx, a)
	if err != nil {
		res := result{verdict: VerdictError, err: err, sent: time.Now(), received: time.Now()}
		r.recordSubmission(stats, a, res)
		return res
	}
	body := a.body()
	var duplicate chan result
	if a.duplicate {
		duplicate = make(chan result, 1)
		r.mu.Lock()
		stats.counts.Repeated++
		r.mu.Unlock()
		go func() { duplicate <- r.submitDuplicate(ctx, stats, a, id, body) }()
	}
	res := r.submitWithResends(ctx, stats, a, id, body)
	if duplicate != nil {
		if second := <-duplicate; res.verdict == VerdictError && second.verdict != VerdictError {
			res = second
		}
	}
	return res
}

// submitDuplicate submits the same identifier through another entry process, once
// the time RepeatAfter of the stream has passed.
func (r *run) submitDuplicate(ctx context.Context, stats *streamStats, a arrival, id string, body []byte) result {
	if !ctxtime.Sleep(ctx, a.stream.RepeatAfter.D()) {
		return result{verdict: VerdictError, err: ctx.Err()}
	}
	res := r.client.submit(ctx, a, a.entry+1, id, body)
	r.recordSubmission(stats, a, res)
	return res
}

// submitWithResends submits the identifier, and again through the next entry
// process after each error, up to the limit of the stream.
func (r *run) submitWithResends(ctx context.Context, stats *streamStats, a arrival, id string, body []byte) result {
	for try := 0; ; try++ {
		res := r.client.submit(ctx, a, a.entry+try, id, body)
		r.recordSubmission(stats, a, res)
		if res.verdict != VerdictError || try >= a.stream.Resends || !ctxtime.Sleep(ctx, resendInterval) {
			return res
		}
		r.mu.Lock()
		stats.counts.Resent++
		r.mu.Unlock()
	}
}

// resendInterval is the wait before an identifier is submitted again after an error.
const resendInterval = 100 * time.Millisecond

// recordSubmission stores a submission for the statistics and the effect check.
func (r *run) recordSubmission(stats *streamStats, a arrival, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats.addSubmission(res)
	r.submissions = append(r.submissions, submission{
		ordering: a.orderingValue(), accepted: res.acceptedAt(),
		echo: a.echo, stream: a.stream.Name, template: a.stream.Workspace + "/" + a.stream.Template,
		idempotent: a.stream.Idempotent, verdict: res.verdict, failed: res.failed, attempt: res.attempt,
		sent: res.sent, received: res.received,
	})
}

func (r *run) report(started time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := Report{Scenario: r.scenario.Name, Seed: r.scenario.Seed, Started: started, Faults: r.faults, SendLag: r.lag.summary()}
	totals := make([]*streamStats, len(r.scenario.Streams))
	var length time.Duration
	for p, phase := range r.scenario.Phases {
		pr := PhaseReport{Name: phase.Name, Duration: phase.Duration}
		length += phase.Duration.D()
		for i := range r.scenario.Streams {
			if p == 0 {
				totals[i] = newStreamStats()
			}
			totals[i].merge(r.stats[p][i])
			pr.Streams = append(pr.Streams, r.stats[p][i].report(&r.scenario.Streams[i], phase.Duration.D()))
		}
		rep.Phases = append(rep.Phases, pr)
	}
	for i := range totals {
		rep.Total = append(rep.Total, totals[i].report(&r.scenario.Streams[i], length))
	}
	return rep
}
