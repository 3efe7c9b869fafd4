// Package pacing decides how much an owner may ask of its own processor and link: how many starts may be in flight, how
// long polls wait for more urgent calls, how often placement passes run, and whether a late answer says anything about the
// runner that was called. The package performs no I/O; time is passed in. Its types are used by one goroutine.
package pacing

import (
	"slices"
	"time"
)

const (
	// sampleWindow is how long the delay of an answer counts. It equals the timeout of a start, so that a timeout is
	// compared with the answers that arrived while it was waited for.
	sampleWindow = 500 * time.Millisecond
	// slowAfter is the delay from which on a call counts as slow: far longer than a round trip between availability zones,
	// and half of the timeout of a start.
	slowAfter = 250 * time.Millisecond
	// silentAfter is the delay from which on a call counts as unanswered while no other call is answered: several round trips
	// between availability zones.
	silentAfter = 100 * time.Millisecond
	// maxLag is the delay of the event loop from which on this process counts as late.
	maxLag = 150 * time.Millisecond
	// minSlowRunners is the number of different runners that must be slow together. Fewer may share a rack or a fault.
	minSlowRunners = 8
	// verdictInterval bounds how often the calls are counted.
	verdictInterval = 10 * time.Millisecond
)

// Call is a call in flight.
type Call struct {
	runner string
	sent   time.Duration
	wait   time.Duration // how long the runner may wait before it answers
}

type sample struct {
	runner string
	at     time.Duration
	delay  time.Duration
}

// Calls tracks the delays of an owner's calls to its runners. When those of most runners rise together, the cause is the
// owner's processor or link.
type Calls struct {
	inFlight  map[*Call]struct{}
	samples   []sample      // in the order in which they were answered
	fastAt    time.Duration // when a call was last answered in time
	lateUntil time.Duration
	judgedAt  time.Duration
	mostSlow  bool
	quiet     bool
	overAt    time.Duration // when it was last found to be overloaded
	median    time.Duration
}

// NewCalls returns a tracker without calls.
func NewCalls() *Calls { return &Calls{inFlight: map[*Call]struct{}{}} }

// Sent records a call that is sent now.
func (c *Calls) Sent(runner string, wait, now time.Duration) *Call {
	call := &Call{runner: runner, sent: now, wait: wait}
	c.inFlight[call] = struct{}{}
	return call
}

// Done records the end of a call, also by a timeout. Of a call at which the runner may wait, the delay is known only if it
// took longer than that.
func (c *Calls) Done(call *Call, now time.Duration) {
	delete(c.inFlight, call)
	delay := now - call.sent - call.wait
	if delay < slowAfter {
		c.fastAt = now
	}
	if call.wait > 0 && delay < 0 {
		return
	}
	c.samples = append(c.samples, sample{runner: call.runner, at: now, delay: delay})
}

// Lagged records how late the event loop handled something.
func (c *Calls) Lagged(lag, now time.Duration) {
	if lag >= maxLag {
		c.lateUntil = max(c.lateUntil, now+sampleWindow)
	}
}

// Overloaded reports whether this process was late or most of its calls are slow, so that a late answer says nothing
// about the called runner.
func (c *Calls) Overloaded(now time.Duration) bool {
	c.judge(now)
	overloaded := now < c.lateUntil || c.mostSlow
	if overloaded {
		c.overAt = now
	}
	return overloaded
}

// OverloadedSince reports whether this process has been overloaded at any time since the given one.
func (c *Calls) OverloadedSince(since, now time.Duration) bool {
	return c.Overloaded(now) || c.overAt >= since && c.overAt > 0
}

// Quiet reports whether no call has been answered in time for slowAfter although many polls wait for runs to end. Then a start
// that times out may be the first sign of a pause of this process, also if only few runners were called.
func (c *Calls) Quiet(now time.Duration) bool {
	c.judge(now)
	return c.quiet
}

// Delay returns the median delay of the recent calls; 0 if too few runners were called to tell.
func (c *Calls) Delay(now time.Duration) time.Duration {
	c.judge(now)
	return c.median
}

// judge counts the recent calls by runner. Calls that are overdue count like slow answers: the first timeouts are known
// only when all calls have been stuck for long. Until then, fast answers from right before that may outnumber them, so several
// runners whose answers are due since the last fast one suffice.
func (c *Calls) judge(now time.Duration) {
	if c.judgedAt > 0 && now-c.judgedAt < verdictInterval {
		return
	}
	c.judgedAt = now
	first := 0
	for first < len(c.samples) && now-c.samples[first].at > sampleWindow {
		first++
	}
	c.samples = slices.Delete(c.samples, 0, first)
	delays := make([]time.Duration, 0, len(c.samples))
	slow, all, unanswered := map[string]bool{}, map[string]bool{}, map[string]bool{}
	count := func(runner string, delay time.Duration) {
		delays = append(delays, delay)
		all[runner] = true
		if delay >= slowAfter {
			slow[runner] = true
		}
	}
	for _, s := range c.samples {
		count(s.runner, s.delay)
	}
	waiting := 0
	for call := range c.inFlight {
		due := call.sent + call.wait
		if due > now {
			waiting++
		}
		if now-due >= slowAfter {
			count(call.runner, now-due)
		}
		if now-due >= silentAfter && due >= c.fastAt {
			unanswered[call.runner] = true
		}
	}
	c.median = 0
	if len(all) >= minSlowRunners {
		slices.Sort(delays)
		c.median = delays[len(delays)/2]
	}
	c.mostSlow = len(slow) >= minSlowRunners && 2*len(slow) > len(all) || len(unanswered) >= minSlowRunners
	c.quiet = waiting >= minSlowRunners && now-c.fastAt >= slowAfter
}
