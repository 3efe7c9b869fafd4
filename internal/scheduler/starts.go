package scheduler

import (
	"github.com/agateyard/agateyard/internal/job"
)

// StartOutcome is the result of a start request.
type StartOutcome int

// Outcomes of a start request.
const (
	StartOK            StartOutcome = iota
	StartRefused                    // the run was not started
	StartTicketInvalid              // the run was not started: the ticket isn't valid
	StartUnhealthy                  // the run was not started: the runner accepts no connection or no work
	StartUnknown                    // no valid response: the run may exist or start later
	StartNotSent                    // this process could not send the request, which says nothing about the runner
	StartUnsettled                  // as StartUnknown, while this process or its link was overloaded: a poll may find the run
)

// start sends the start request of a reserved run.
func (s *Scheduler) start(x *run, reason string) {
	t := x.task
	x.state = runStarting
	t.stage.reservedCount--
	t.stage.wait = stageWait{}
	x.startSentAt = s.now
	x.runner.lastStartAt = s.now
	if x.risk != noRisk {
		x.runner.riskyAt = s.now
	}
	s.startBudget--
	s.startBacklog.started(s.now)
	t.lastRun = max(t.lastRun, x.number)
	s.excessLeft(t.stage.job)
	x.resumed = s.checkpointOf(t) != ""
	s.sendStart(x, reason)
}

func (s *Scheduler) sendStart(x *run, reason string) {
	t := x.task
	ticket, _ := t.stage.advice.ticketOf(x.runner)
	s.emit(StartRun{
		Runner: x.runner.ref(), Task: t.id(), Run: x.number, Payload: t.stage.job.spec.Payload,
		Ticket: ticket.value, Checkpoint: s.checkpointOf(t), Reason: reason,
	})
	s.LeaseSent(x.runner.ID) // also when it is sent again: each request extends the lease from its own time
}

// checkpointOf returns the checkpoint that a run resumes from. All members of a gang resume from the same checkpoint.
func (s *Scheduler) checkpointOf(t *task) string {
	if !t.stage.step.Checkpoints {
		return ""
	}
	if t.stage.step.Gang {
		for _, member := range t.stage.tasks {
			if member.checkpoint != "" {
				return member.checkpoint
			}
		}
	}
	return t.checkpoint
}

// StartAnswered processes the outcome of a start request for an incarnation of a runner.
func (s *Scheduler) StartAnswered(by RunnerRef, task job.TaskID, number int, outcome StartOutcome) {
	r := s.runners[by.ID]
	if r == nil {
		return
	}
	x := r.runs[runKey{task, number}]
	if x == nil {
		return
	}
	if r.incarnation != by.Incarnation {
		s.formerAnswered(x, outcome)
		return
	}
	switch outcome {
	case StartOK:
		if x.state == runStarting {
			x.state = runRunning
		}
		x.confirmStart(s.now)
	case StartUnknown:
		if x.state == runStarting {
			s.stopUnanswered(x)
		}
	case StartTicketInvalid:
		x.task.stage.advice.discard(r)
		s.startRefused(x, "ticket refused")
	case StartUnhealthy:
		r.health.quarantine(s.now)
		s.emit(RunnerChanged{Runner: r.ID, Change: "quarantined", Detail: "refuses work"})
		s.startRefused(x, "runner unhealthy")
	case StartRefused:
		s.startRefused(x, "refused")
	case StartUnsettled:
		s.settle(x)
	case StartNotSent:
		s.unsent = append(s.unsent, x)
	}
}

// formerAnswered processes the outcome of a start request for an incarnation that has ended. Its certain answer proves that the next
// one won't get the request, and says nothing else about that.
func (s *Scheduler) formerAnswered(x *run, outcome StartOutcome) {
	if x.startConfirmedAt > 0 || outcome == StartUnknown || outcome == StartUnsettled {
		return
	}
	if outcome == StartOK {
		x.confirmStart(s.now)
	}
	s.endRun(x, "restarted", "")
}

// resendStarts sends the start requests again that this process could not send, unless the run was stopped meanwhile. The
// run keeps its number and its capacity, so a gang stays complete.
func (s *Scheduler) resendStarts() {
	unsent := s.unsent
	s.unsent = nil
	for _, x := range unsent {
		if x.runner.runs[x.key()] != x || x.state != runStarting {
			continue
		}
		if !s.mayStartReserved(x.task.stage) {
			s.endRun(x, "tenant over its cap", "") // the cap has fallen since the start was decided
			continue
		}
		if !x.runner.used.Fits(x.runner.Capacity) {
			s.endRun(x, "runner has shrunk", "") // since the start was decided
			continue
		}
		x.startSentAt, x.runner.lastStartAt = s.now, s.now
		s.sendStart(x, "not sent before")
	}
}

func (s *Scheduler) startRefused(x *run, outcome string) {
	x.task.avoidRunner = x.runner.ID
	s.endRun(x, outcome, "")
}

// allowCopy makes a speculative task available for another run at once, as its copies may run in parallel.
func (s *Scheduler) allowCopy(x *run) {
	limited := x.task.stage.job.tenant != nil && x.task.runs >= maxCopies
	limited = limited || len(x.task.crashes) > 0 // it may have crashed the runner
	if x.task.stage.step.Speculative && x.task.current == x && !limited {
		x.task.current = nil
		s.needsPass = true
	}
}

// reserve reserves capacity for a run, which startReserved starts.
func (s *Scheduler) reserve(t *task, r *runner, number int) *run {
	x := &run{
		task: t, number: number, runner: r, reserved: t.stage.step.Reserved(), state: runReserved, startSentAt: s.now,
		risk: s.riskOf(t),
	}
	t.current = x
	t.stage.reservedCount++
	t.lastRun = number
	s.charge(x)
	s.placedBesideClaim(x)
	if x.besideProbe = s.admissionOf(t, r) == besideProbe; !x.besideProbe {
		r.health.placed(x)
	}
	return x
}

// nextRunNumber returns the number for the next run of a task.
func (s *Scheduler) nextRunNumber(t *task) int {
	return max(t.lastRun, s.runNumberBase) + 1
}

var outcomeNames = map[StartOutcome]string{
	StartOK: "ok", StartRefused: "refused", StartTicketInvalid: "no-ticket", StartUnhealthy: "unhealthy", StartUnknown: "unknown",
	StartNotSent: "not-sent", StartUnsettled: "unsettled",
}

// String returns the outcome's name for logs and metrics.
func (o StartOutcome) String() string { return outcomeNames[o] }
