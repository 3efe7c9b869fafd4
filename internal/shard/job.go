package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// phase is the stage of a request at its shard owner.
type phase uint8

const (
	phaseAccepting phase = iota // its acceptance record is not durable yet
	phaseHeld                   // waits until earlier attempts of the shard are known
	phaseQueued                 // queued, running or between two attempts
	phaseDone                   // has an outcome
)

// waiter is a caller that waits for the outcome, or for the acceptance.
type waiter struct {
	id     WaiterID
	async  bool
	joined bool
}

// job is the state of one request at its shard owner. Comments call it the request.
type job struct {
	key            model.RequestKey
	hash           uint64
	shard          *shardState
	template       *templateState
	kind           model.Kind
	idempotent     bool
	async          bool
	accepted       bool // its acceptance record is durable
	cancelled      bool
	started        bool // an attempt may have run
	countedInQueue bool // counts against the queue limits of the template
	replayed       bool // restored from records of an earlier owner
	hasBody        bool // false for a replayed synchronous request until it is submitted again
	outcomePending bool // its not-run outcome is not durable yet
	phase          phase
	sizeClass      sizeClass
	maxWait        time.Duration
	runLimit       time.Duration
	bodyHash       uint64
	contentType    string
	body           []byte
	waiters        []waiter
	submitted      time.Time
	arrived        time.Time // determines the order; earlier than submitted for a resubmission with Resent
	startedAt      time.Time
	endedAt        time.Time
	startDeadline  time.Time // zero without a limit
	seq            uint64
	attempts       int
	lastAttempt    model.AttemptID
	taskCount      int
	units          []unit          // nil with phaseDone
	replayedIntent []IntentAttempt // not resolved yet
	lastEnd        *model.Settled  // combined completion of the last round in which an attempt may have run
	reply          model.Reply     // with phaseDone
	keptAnswer     bool

	keyQueue   *orderingQueue
	prev, next *job

	wakeAt   time.Time
	position int
}

func (j *job) dueTime() time.Time { return j.wakeAt }
func (j *job) setIndex(i int)     { j.position = i }
func (j *job) index() int         { return j.position }

// makeUnits groups the tasks into the units that are started separately.
func (j *job) makeUnits(tasks int) {
	count := j.sizeClass.tasks
	j.taskCount = tasks
	j.units = make([]unit, tasks/count)
	for i := range j.units {
		j.units[i] = unit{job: j, first: i * count, count: count}
	}
}

// unitOf returns the unit of a task, or nil.
func (j *job) unitOf(task int) *unit {
	if task < 0 || task/j.sizeClass.tasks >= len(j.units) {
		return nil
	}
	return &j.units[task/j.sizeClass.tasks]
}

// liveCount returns the number of live attempts.
func (j *job) liveCount() int {
	n := 0
	for i := range j.units {
		n += len(j.units[i].live)
	}
	return n
}

// journaled reports whether the outcome is written to the journal.
func (j *job) journaled() bool { return j.async || !j.idempotent }

// needsIntent reports whether starts wait for an intent record. Replicas of a service never
// do, because they may be started again at any time.
func (j *job) needsIntent() bool { return !j.idempotent && j.kind != model.KindService }

// isFirstInOrder reports whether no earlier request with the same ordering key is unfinished.
func (j *job) isFirstInOrder() bool { return j.keyQueue == nil || j.keyQueue.front == j }

// state returns the state that status calls report.
func (j *job) state() model.JobState {
	switch {
	case j.phase == phaseDone && !j.outcomePending:
		return model.JobDone
	case j.liveCount() > 0:
		return model.JobRunning
	default:
		return model.JobQueued
	}
}

// status returns the status that status calls report.
func (j *job) status() model.JobStatus {
	s := model.JobStatus{
		Key:         j.key,
		State:       j.state(),
		SubmittedAt: j.submitted,
		StartedAt:   j.startedAt,
		Running:     j.liveCount(),
		Tasks:       j.taskCount,
		Attempts:    j.attempts,
	}
	if j.phase != phaseDone || j.outcomePending {
		return s
	}
	s.Outcome, s.Reason, s.EndedAt = j.reply.Outcome, j.reply.Reason, j.endedAt
	if j.keptAnswer {
		answer := j.reply.Answer
		s.Answer = &answer
	}
	return s
}
