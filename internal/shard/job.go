package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// phase is the stage of a request at its shard owner.
type phase uint8

const (
	phaseAccepting phase = iota // its acceptance record is not durable
	phaseHeld                   // earlier attempts of the shard are being settled
	phaseQueued                 // queued, running or between two attempts
	phaseDone                   // has an outcome
)

// waiter is a caller that waits for the outcome, or for the acceptance.
type waiter struct {
	id     WaiterID
	async  bool
	joined bool
}

// job is one request.
type job struct {
	key         model.RequestKey
	hash        uint64
	shard       *shardState
	template    *templateState
	kind        model.Kind
	idempotent  bool
	async       bool
	accepted    bool // its acceptance record is durable
	cancelled   bool
	started     bool // some attempt may have run
	counted     bool // counts against the bounds of the template's queue
	replayed    bool // known from a journal
	hasBody     bool // false for a replayed synchronous request until it is sent again
	unconfirmed bool // its not-run outcome is not durable yet
	phase       phase
	class       class
	maxWait     time.Duration
	runLimit    time.Duration
	bodyHash    uint64
	contentType string
	body        []byte
	waiters     []waiter
	submitted   time.Time
	arrived     time.Time // place in the order; earlier than submitted when sent again
	startedAt   time.Time
	endedAt     time.Time
	deadline    time.Time // by which it must start; zero without a limit
	seq         uint64
	attempts    int
	lastAttempt model.AttemptID
	total       int             // tasks
	units       []unit          // nil with phaseDone
	intent      []IntentAttempt // replayed; not resolved yet
	last        *model.Settled  // end of the last attempt that ran
	reply       model.Reply     // with phaseDone
	keptAnswer  bool

	line       *orderLine
	prev, next *job

	wake     time.Time
	position int
}

func (j *job) dueTime() time.Time { return j.wake }
func (j *job) setIndex(i int)     { j.position = i }
func (j *job) index() int         { return j.position }

// makeUnits splits the tasks into what one grant starts.
func (j *job) makeUnits(tasks int) {
	count := j.class.tasks
	j.total = tasks
	j.units = make([]unit, tasks/count)
	for i := range j.units {
		j.units[i] = unit{job: j, first: i * count, count: count}
	}
}

// unitOf returns the unit of a task, or nil.
func (j *job) unitOf(task int) *unit {
	if task < 0 || task/j.class.tasks >= len(j.units) {
		return nil
	}
	return &j.units[task/j.class.tasks]
}

// liveCount returns the number of live attempts.
func (j *job) liveCount() int {
	n := 0
	for i := range j.units {
		n += len(j.units[i].live)
	}
	return n
}

// journaled reports whether the outcome goes to the journal.
func (j *job) journaled() bool { return j.async || !j.idempotent }

// needsIntent reports whether starts wait for an intent record. A replica of a
// service may always be started again.
func (j *job) needsIntent() bool { return !j.idempotent && j.kind != model.KindService }

// hasTurn reports whether no earlier request with the same ordering key is unfinished.
func (j *job) hasTurn() bool { return j.line == nil || j.line.front == j }

// state returns the state for status calls.
func (j *job) state() model.JobState {
	switch {
	case j.phase == phaseDone && !j.unconfirmed:
		return model.JobDone
	case j.liveCount() > 0:
		return model.JobRunning
	default:
		return model.JobQueued
	}
}

// status returns what status calls report.
func (j *job) status() model.JobStatus {
	s := model.JobStatus{
		Key:         j.key,
		State:       j.state(),
		SubmittedAt: j.submitted,
		StartedAt:   j.startedAt,
		Running:     j.liveCount(),
		Tasks:       j.total,
		Attempts:    j.attempts,
	}
	if j.phase != phaseDone || j.unconfirmed {
		return s
	}
	s.Outcome, s.Reason, s.EndedAt = j.reply.Outcome, j.reply.Reason, j.endedAt
	if j.keptAnswer {
		answer := j.reply.Answer
		s.Answer = &answer
	}
	return s
}
