package scheduler

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

type runState int

const (
	runHeld     runState = iota // room is charged, a ticket is on its way
	runStarting                 // ordered, no answer yet
	runRunning
	runStopping // must end; its room stays charged until the end is certain
)

// run is one try of a task on a runner. Its room is charged while the run exists.
type run struct {
	task     *task
	number   int
	runner   *runner
	charge   model.Resources
	state    runState
	reason   string        // why it is stopped
	ordered  time.Duration // when the start was ordered
	arrived  time.Duration // when the start was known to have arrived; 0 if it isn't known
	stopSent time.Duration
	stopped  time.Duration // when the stop was answered; 0 if it wasn't
	resumed  bool          // it began from a checkpoint, or under another owner
	idle     int           // reports in a row without use of the processor
	lastLook time.Duration
}

func (r *run) key() runKey {
	return runKey{r.task.id(), r.number}
}

// certainAt returns from when on a report that doesn't name the run proves that it is over; 0 if none does.
func (r *run) certainAt() time.Duration {
	switch {
	case r.state == runHeld:
		return 0
	case r.state == runStopping && r.arrived == 0:
		return r.stopped
	default:
		return r.arrived
	}
}
