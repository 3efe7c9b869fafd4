package scheduler

import (
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestIdleTasksAccuseNoSoundRunners guards against a job whose tasks need no processor: each was stopped soon after each start, for ever, and
// each time its runner was quarantined, on the word of this one job (CASE=zero-cpu).
func TestIdleTasksAccuseNoSoundRunners(t *testing.T) {
	for _, c := range []struct {
		name    string
		runners int
		step    job.Step
	}{
		{name: "tasks", runners: 6, step: job.Step{Count: 6, Need: cores(1), Estimate: 4000}},
		{name: "one runner", runners: 1, step: job.Step{Count: 1, Need: cores(1), Estimate: 4000}},
		{name: "one a runner", runners: 6, step: job.Step{Count: 6, Need: cores(1), Estimate: 4000, MaxPerRunner: 1}},
		{name: "gang", runners: 6, step: job.Step{Count: 6, Need: cores(4), Estimate: 4000, Gang: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newFailingLoad(9, c.runners)
			l.usage = func(task job.TaskID, _ string) int {
				if task.Job == failedJob {
					return 0
				}
				return 500
			}
			l.submitStep("fill", failedJob, c.step)
			l.runSound(20*time.Second, job.Step{Count: 1, Need: cores(1), Estimate: 600})
			l.mustBegin(t)
			if state := l.finished[failedJob].State; state != job.Done {
				t.Errorf("the idle job is %q", state)
			}
		})
	}
}

// TestStandstillOfARunnerIsFound guards against runners on which work stands still and that are found later, or not at all, as idle tasks
// are given the benefit of the doubt.
func TestStandstillOfARunnerIsFound(t *testing.T) {
	l := newFailingLoad(9, 6)
	still := true
	l.usage = func(_ job.TaskID, runner string) int {
		if still && runner == "r00" {
			return 0
		}
		return 500
	}
	l.slowdown = map[string]float64{"r00": 100}
	l.submitStep("fill", failedJob, job.Step{Count: 2, Need: cores(1), Estimate: 2000})
	l.run(1700 * time.Millisecond) // of usage reports: two checks of 0.4 s after 0.7 s
	if lines := l.history("no progress"); len(lines) == 0 {
		t.Error("the runner is not found")
	}
	still = false
	clear(l.slowdown)
	l.mustFinish(t, 10*time.Second)
}
