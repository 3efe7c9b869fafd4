package scheduler

import (
	"slices"
	"time"
)

const (
	// quarantineAfterJobs is the number of different jobs that must have had a failed run on a runner, without a
	// successful run in between, before it is quarantined. A single faulty job doesn't indicate a faulty runner.
	quarantineAfterJobs = 2
	// minQuarantine and maxQuarantine limit how long a runner gets no work before it is probed with one run.
	minQuarantine = time.Second
	maxQuarantine = 4 * time.Second
	// probeDuration is how long a probe has to run to count as a success. A faulty runner that still accepts work fails
	// its runs immediately.
	probeDuration = 1500 * time.Millisecond
	// stalledAfterChecks is the number of consecutive usage checks without CPU usage after which a run counts as stalled.
	stalledAfterChecks = 2
)

// runnerHealth tracks the health of a runner by the outcomes of different jobs on it.
type runnerHealth struct {
	failedJobs       []string // different jobs with a failed run there since the last success or quarantine
	quarantinedUntil time.Duration
	quarantineTime   time.Duration
	probing          bool // one run at a time until one succeeds or has run for probeDuration
	probe            *run // run that probes the runner since the last quarantine; nil if none
}

// failed records a failed run and reports whether the runner is quarantined because of it.
func (h *runnerHealth) failed(job string, now time.Duration) bool {
	if !slices.Contains(h.failedJobs, job) {
		h.failedJobs = append(h.failedJobs, job)
	}
	if len(h.failedJobs) < quarantineAfterJobs && !h.probing {
		return false
	}
	h.quarantine(now)
	return true
}

// placed records that capacity was reserved for a run on the runner. While the runner is probed, this run is
// the probe.
func (h *runnerHealth) placed(x *run) {
	if h.probing {
		h.probe = x
	}
}

// ended records the end of a run.
func (h *runnerHealth) ended(x *run) {
	if h.probe == x {
		h.probe = nil
	}
}

// quarantine quarantines the runner, each time for twice as long, up to maxQuarantine.
func (h *runnerHealth) quarantine(now time.Duration) {
	h.quarantineTime = min(max(2*h.quarantineTime, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now + h.quarantineTime
	h.probing = true
	h.probe = nil
	h.failedJobs = h.failedJobs[:0]
}

// succeeded resets the state after a successful run.
func (h *runnerHealth) succeeded() {
	*h = runnerHealth{}
}

// admits reports whether another run may be placed. It resets the state if the probe has run for longer than
// probeDuration: this counts as a success, as a long-running task never completes.
func (h *runnerHealth) admits(now time.Duration) bool {
	if now < h.quarantinedUntil {
		return false
	}
	if h.probing && h.probe != nil && h.probe.state == runRunning && now-h.probe.startSentAt > probeDuration {
		h.succeeded()
	}
	return !h.probing || h.probe == nil
}
