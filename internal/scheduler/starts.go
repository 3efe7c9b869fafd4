package scheduler

import (
	"github.com/agateyard/agateyard/internal/job"
)

// StartOutcome is what became of an order to start a run.
type StartOutcome int

// Outcomes of an order to start.
const (
	StartOK            StartOutcome = iota
	StartRefused                    // certain: it doesn't run
	StartTicketInvalid              // certain: it doesn't run, the ticket isn't valid
	StartUnhealthy                  // certain: it doesn't run, the runner refuses work
	StartUnknown                    // no answer: it may run, now or later
)

// start orders a run whose room is charged.
func (s *Scheduler) start(x *run, reason string) {
	t := x.task
	x.state = runStarting
	t.stage.held--
	x.ordered = s.now
	t.lastRun = max(t.lastRun, x.number)
	ticket, _ := t.stage.advice.ticketOf(x.runner)
	t.stage.job.begun = true
	x.resumed = s.checkpointOf(t) != ""
	s.emit(StartRun{
		Runner: x.runner.ref(), Task: t.id(), Run: x.number, Payload: t.stage.job.spec.Payload,
		Ticket: ticket.value, Checkpoint: s.checkpointOf(t), Reason: reason,
	})
	s.LeaseSent(x.runner.ID)
}

// checkpointOf returns the progress that a run resumes from. All members of a gang resume from the same.
func (s *Scheduler) checkpointOf(t *task) string {
	if !t.stage.step.Checkpoints {
		return ""
	}
	if t.stage.step.Gang {
		for _, member := range t.stage.tasks {
			if member.saved != "" {
				return member.saved
			}
		}
	}
	return t.saved
}

// StartAnswered tells the outcome of an order to start.
func (s *Scheduler) StartAnswered(runnerID string, task job.TaskID, number int, outcome StartOutcome) {
	r := s.runners[runnerID]
	if r == nil {
		return
	}
	x := r.runs[runKey{task, number}]
	if x == nil {
		return
	}
	switch outcome {
	case StartOK:
		if x.state == runStarting {
			x.state = runRunning
		}
		if x.arrived == 0 {
			x.arrived = s.now
		}
	case StartUnknown:
		if x.state == runStarting {
			s.stop(x, "the start got no answer")
			s.letCopyRun(x)
		}
	case StartTicketInvalid:
		x.task.stage.advice.forget(r)
		s.refused(x, "ticket refused")
	case StartUnhealthy:
		r.health.quarantine(s.now)
		s.emit(RunnerChanged{Runner: r.ID, Change: "quarantined", Detail: "refuses work"})
		s.refused(x, "runner unhealthy")
	case StartRefused:
		s.refused(x, "refused")
	}
}

func (s *Scheduler) refused(x *run, how string) {
	x.task.avoid = x.runner.ID
	s.endRun(x, how, "")
}

// letCopyRun lets a task whose copies may run in parallel start elsewhere at once.
func (s *Scheduler) letCopyRun(x *run) {
	if x.task.stage.step.Speculative && x.task.current == x {
		x.task.current = nil
		s.needsPass = true
	}
}

// hold charges the room of a run that will be started once its ticket is there.
func (s *Scheduler) hold(t *task, r *runner, number int) *run {
	x := &run{task: t, number: number, runner: r, charge: t.stage.step.Reserved(), state: runHeld, ordered: s.now}
	t.current = x
	t.stage.held++
	t.lastRun = number
	r.runs[x.key()] = x
	r.health.started(x)
	r.used = r.used.Add(x.charge)
	return x
}

// nextRun returns the number of the next run of a task.
func (s *Scheduler) nextRun(t *task) int {
	return max(t.lastRun, s.runBase) + 1
}

var outcomeNames = map[StartOutcome]string{
	StartOK: "ok", StartRefused: "refused", StartTicketInvalid: "no-ticket", StartUnhealthy: "unhealthy", StartUnknown: "unknown",
}

// String returns the outcome's name for logs and metrics.
func (o StartOutcome) String() string { return outcomeNames[o] }
