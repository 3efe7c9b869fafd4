package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

type runState int

const (
	runReserved runState = iota // resources are reserved; the start waits for tickets or for the end of preempted runs
	runStarting                 // start request sent, no response yet
	runRunning
	runStopping // has to end; its resources stay reserved until the end is confirmed
)

// run is one attempt to execute a task on a runner. Its resources are reserved as long as it may exist.
type run struct {
	task             *task
	number           int
	runner           *runner
	reserved         model.Resources
	state            runState
	reason           string        // why it is being stopped
	startSentAt      time.Duration // when the start request was sent; until then, and for adopted runs, when the run was added
	startConfirmedAt time.Duration // when the start was confirmed; 0 if it wasn't
	unsettledAt      time.Duration // when the start was given up without an answer and without blame; 0 if it wasn't
	stopSentAt       time.Duration
	stopConfirmedAt  time.Duration // when the stop was confirmed; 0 if it wasn't
	resumed          bool          // started from a checkpoint or by another owner
	risk             risk          // why it is kept apart from others
	besideProbe      bool          // placed on an accused runner without being its probe
	adopted          bool          // started by another owner
	idleChecks       int           // consecutive usage checks without CPU usage
	lastUsageCheck   time.Duration
}

func (r *run) key() runKey {
	return runKey{r.task.id(), r.number}
}

// confirmStart records that the runner has taken the start, so that the job has begun.
func (r *run) confirmStart(now time.Duration) {
	if r.startConfirmedAt == 0 {
		r.startConfirmedAt = now
	}
	r.task.stage.job.started = true
}

// confirmedAt returns the time after which a requested report that doesn't list the run proves that it has ended or
// will never start; 0 if no report proves it.
func (r *run) confirmedAt() time.Duration {
	switch {
	case r.state == runReserved:
		return 0
	case r.state == runStopping && r.startConfirmedAt == 0:
		return r.stopConfirmedAt
	default:
		return r.startConfirmedAt
	}
}
