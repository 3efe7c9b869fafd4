package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/job"
)

// TestDelayedRestartsAskForNoAdvice guards against calls for advice about tasks that aren't started yet, each of which takes the time of other
// work.
func TestDelayedRestartsAskForNoAdvice(t *testing.T) {
	l := newFailingLoad(3, 12)
	for i := range l.queues {
		l.queues[i].Advice = &AdvicePolicy{PerCall: 8 * time.Millisecond, TicketTTL: 1500 * time.Millisecond}
	}
	l.eligible = func(job.StepID, string) bool { return false }
	l.sched.SetQueues(l.queues)
	l.submitFailing("gang", job.Step{Count: 1, Need: cores(1), Estimate: 1000, LongRunning: true})
	id := fmt.Sprintf("%s%013x", failingPrefix, l.jobs)
	st := l.sched.jobs[id].stages[0]
	st.tasks[0].failures = &taskFailures{atOnce: 9, restartAt: l.now + maxRestartDelay}
	l.run(maxRestartDelay - 100*time.Millisecond)
	if n := st.advice.requests; n > 0 {
		t.Errorf("%d requests before the task may start again", n)
	}
	l.run(time.Second)
	if st.advice.requests == 0 {
		t.Error("no request once it may")
	}
}
