// Package blame decides what the loss of runners says about the tasks that ran there: which tasks are suspects, which are
// given up, and which queues start tasks that crash runners. It performs no I/O, and time is passed in.
package blame

import (
	"slices"

	"github.com/agateyard/agateyard/internal/job"
)

// Verdict is what the losses of runners under a task say about it.
type Verdict int

// Verdicts.
const (
	Unsuspected Verdict = iota
	Suspect             // it has to start apart from others, so that the next loss has one suspect
	Culprit             // it must not be started again
)

// String returns the verdict's name for logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Suspect:
		return "suspect"
	case Culprit:
		return "given-up"
	}
	return "unsuspected"
}

const (
	// culpritCrashes is the number of losses for which a task has to be a suspect, and for one of them the only one, to be given
	// up. One loss may be a coincidence.
	culpritCrashes = 2
	// suspectLosses is the number of losses without a likely culprit after which a task is a suspect as well: it may crash
	// its runners later than as it starts.
	suspectLosses = 3
	// unconfirmedCrashes is the number of losses for which a task is a suspect, culpritCrashes times the only one, after which it is
	// given up although these runners had perhaps not started it: it may crash them before they answer the start.
	unconfirmedCrashes = 4
	// maxCrashes is the number of losses after which a task is given up, whatever else ran there: those of runners which had
	// certainly started it, or those for which it is a suspect.
	maxCrashes = 5
)

// Judge returns the verdict on a task, or a gang, by the losses that it may have caused. Several losses under one run of a gang
// count once: more than one of its members would have to be at fault. A loss with a common cause counts for nothing.
func Judge(crashes []job.Crash) Verdict {
	suspected, alone := false, false
	started, blamed := 0, 0 // runs that were lost with runners which had certainly started them; those as a suspect
	possible, only := 0, 0  // runs that were lost as a suspect, whether the runner had started them or not; those as the only one
	for i, c := range crashes {
		if c.CommonCause {
			continue
		}
		suspected = suspected || c.Suspects > 0
		alone = alone || c.Suspects == 1 && c.Started
		if slices.ContainsFunc(crashes[:i], func(earlier job.Crash) bool { return earlier.Run == c.Run }) {
			continue
		}
		if c.Suspects > 0 {
			possible++
		}
		if c.Suspects == 1 {
			only++
		}
		if !c.Started {
			continue
		}
		started++
		if c.Suspects > 0 {
			blamed++
		}
	}
	switch {
	case started >= maxCrashes, possible >= maxCrashes,
		blamed >= culpritCrashes && alone,
		possible >= unconfirmedCrashes && only >= culpritCrashes:
		return Culprit
	case suspected, started >= suspectLosses:
		return Suspect
	}
	return Unsuspected
}
