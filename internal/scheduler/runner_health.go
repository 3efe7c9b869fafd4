package scheduler

import (
	"slices"
	"strings"
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
	// soundProbeTime is how long after a quarantine only work that hasn't failed elsewhere may probe the runner. The failure of
	// other work says little about the runner, and would keep sound work waiting for the probe.
	soundProbeTime = 500 * time.Millisecond
	// maxAccusations bounds the failed runs that are remembered for a runner.
	maxAccusations = 32
	// stalledAfterChecks is the number of consecutive usage checks without CPU usage after which a run counts as stalled.
	stalledAfterChecks = 2
)

// runnerHealth tracks the health of a runner by the outcomes of different jobs on it.
type runnerHealth struct {
	accusations      []accusation // since the last success, the latest of each task
	quarantinedAt    time.Duration
	quarantinedUntil time.Duration
	quarantineTime   time.Duration
	byFailures       bool // it was last quarantined for accusations
	probing          bool // one run at a time until one succeeds or has run for probeDuration
	probe            *run // run that probes the runner since the last quarantine; nil if none
}

// accuse records a run that has failed, or makes no progress, by what may be the runner's fault.
func (h *runnerHealth) accuse(x *run) {
	h.accusations = slices.DeleteFunc(h.accusations, func(a accusation) bool { return a.task == x.task })
	if len(h.accusations) == maxAccusations {
		h.accusations = slices.Delete(h.accusations, 0, 1)
	}
	h.accusations = append(h.accusations, accusation{task: x.task, startedAt: x.startSentAt})
}

// stalled quarantines the runner for a run that makes no progress, which is rarely a task's own fault.
func (h *runnerHealth) stalled(x *run, now time.Duration) {
	h.accuse(x)
	h.quarantine(now)
	h.byFailures = true
}

// failed records a failed run and reports whether the runner is quarantined because of it.
func (h *runnerHealth) failed(x *run, now time.Duration) bool {
	h.accuse(x)
	if !h.probing && !h.hasAccusers() {
		return false
	}
	h.quarantine(now)
	h.byFailures = true
	return true
}

// isAccused reports whether the runner is in quarantine, or probed, for runs that have failed.
func (h *runnerHealth) isAccused() bool { return h.probing && h.byFailures }

// hasAccusers reports whether enough different jobs accuse the runner.
func (h *runnerHealth) hasAccusers() bool {
	jobs := make([]string, 0, quarantineAfterJobs)
	for _, a := range h.accusations {
		if id := a.task.stage.id.Job; !slices.Contains(jobs, id) {
			if jobs = append(jobs, id); len(jobs) == quarantineAfterJobs {
				return true
			}
		}
	}
	return false
}

// accusers returns the tasks that accuse the runner, the latest first, at most as many as are needed for a quarantine.
func (h *runnerHealth) accusers() string {
	var names []string
	for i := len(h.accusations) - 1; i >= 0 && len(names) < quarantineAfterJobs; i-- {
		names = append(names, h.accusations[i].task.id().String())
	}
	return strings.Join(names, ", ")
}

// exonerate drops the accusations by matching tasks, as these are at fault themselves, and reports whether this ends a quarantine. A
// runner that another task accuses as well is still probed.
func (h *runnerHealth) exonerate(match func(*task) bool) bool {
	before := len(h.accusations)
	h.accusations = slices.DeleteFunc(h.accusations, func(a accusation) bool { return match(a.task) })
	if len(h.accusations) == before || !h.byFailures || h.hasAccusers() {
		return false
	}
	if len(h.accusations) == 0 {
		h.succeeded()
		return true
	}
	h.quarantinedUntil, h.quarantineTime = min(h.quarantinedUntil, h.quarantinedAt), 0
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
	h.quarantinedAt, h.quarantinedUntil = now, now+h.quarantineTime
	h.probing, h.byFailures = true, false
	h.probe = nil
}

// succeeded resets the state after a successful run.
func (h *runnerHealth) succeeded() {
	*h = runnerHealth{}
}

// admits reports whether another run may be placed.
func (h *runnerHealth) admits(now time.Duration) bool {
	return now >= h.quarantinedUntil && !h.isProbed(now)
}

// admitsEarly is admits for work that may probe the runner before its quarantine ends.
func (h *runnerHealth) admitsEarly(now time.Duration) bool {
	return now-h.quarantinedAt >= earlyProbeAfter && !h.isProbed(now)
}

// isProbed reports whether a probe is at work that has shown nothing yet.
func (h *runnerHealth) isProbed(now time.Duration) bool {
	return h.probing && h.probe != nil && !h.probeWorks(now)
}

// probeWorks reports whether the probe has run for longer than probeDuration. This counts as a success, as a long-running task never
// completes.
func (h *runnerHealth) probeWorks(now time.Duration) bool {
	return h.probe != nil && h.probe.state == runRunning && now-h.probe.startSentAt > probeDuration
}
