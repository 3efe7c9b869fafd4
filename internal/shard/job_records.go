package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// newRecord returns a record of the request without content. Its time is the submission time;
// callers that record an event replace it. Replay does not use the time of ends and
// cancellations.
func newRecord(k RecordKind, j *job) Record {
	return Record{Kind: k, Shard: j.shard.id, Key: j.key, Time: j.submitted, BodyHash: j.bodyHash, Async: j.async}
}

// acceptanceRecord returns the acceptance record of an asynchronous request. Its time is the
// submission time, from which the maximum wait is measured.
func acceptanceRecord(j *job) Record {
	r := newRecord(RecordAcceptance, j)
	r.Acceptance = acceptanceOf(j)
	return r
}

// acceptanceOf returns what is needed to run the request at another owner.
func acceptanceOf(j *job) *Acceptance {
	return &Acceptance{
		Kind:        j.kind,
		Idempotent:  j.idempotent,
		Tasks:       j.taskCount,
		Resources:   j.sizeClass.resources,
		RunLimit:    j.runLimit,
		MaxWait:     j.maxWait,
		ContentType: j.contentType,
		Body:        j.body,
	}
}

// intentRecord returns the record that has to be durable before the attempts of a unit start.
func intentRecord(u *unit) Record {
	r := newRecord(RecordIntent, u.job)
	r.Intent = &Intent{Attempts: intentAttempts(u)}
	return r
}

// intentAttempts returns the live attempts of the unit as an intent record lists them.
func intentAttempts(u *unit) []IntentAttempt {
	attempts := make([]IntentAttempt, 0, len(u.live))
	for _, a := range u.live {
		attempts = append(attempts, IntentAttempt{Attempt: a.id, Task: a.task, Pool: a.pool, Endpoint: a.endpoint, Instance: a.instance()})
	}
	return attempts
}

// endRecord returns the record of the completion of one task, without an answer that is too
// large to be kept.
func endRecord(u *unit, task int, completion model.Settled, keptBytes int) Record {
	if len(completion.Answer.Body) > keptBytes {
		completion.Answer.Body, completion.HasAnswer = nil, false
	}
	r := newRecord(RecordEnd, u.job)
	r.End = &TaskEnd{Task: task, Round: u.round, Settled: completion}
	return r
}

// concludedRecord returns the record of the combined completion of a round of starts, after
// which the unit may be started again. Without it a successor could assume that the request
// never ran.
func concludedRecord(u *unit, completion model.Settled, keptBytes int) Record {
	r := endRecord(u, u.first, completion, keptBytes)
	r.End.Concluded, r.End.Retries = true, u.retries
	return r
}

// outcomeRecord returns the record of a finished request.
func outcomeRecord(j *job) Record {
	r := newRecord(RecordOutcome, j)
	r.Time = j.endedAt
	r.Outcome = &Outcome{
		Outcome:     j.reply.Outcome,
		Reason:      j.reply.Reason,
		Detail:      j.reply.Detail,
		Submitted:   j.submitted,
		Started:     j.startedAt,
		Tasks:       j.taskCount,
		Attempts:    j.attempts,
		LastAttempt: j.lastAttempt,
		Cancelled:   j.cancelled,
	}
	if j.keptAnswer {
		answer := j.reply.Answer
		r.Outcome.Answer = &answer
	}
	return r
}

// jobRecords returns the records from which Replay restores the request; none for an idempotent
// synchronous request. An acceptance or intent that is not durable yet is left out: it follows
// in the journal. Ends, a cancellation and the outcome are included even if they are not
// durable yet.
func (t *Table) jobRecords(now time.Time, j *job) []Record {
	if !j.journaled() {
		return nil
	}
	if j.phase == phaseDone {
		return []Record{outcomeRecord(j)}
	}
	var records []Record
	if j.accepted {
		records = append(records, acceptanceRecord(j))
	}
	if len(j.replayedIntent) > 0 {
		r := newRecord(RecordIntent, j)
		r.Intent = &Intent{Attempts: j.replayedIntent}
		records = append(records, r)
	}
	if j.lastEnd != nil && len(records) > 0 {
		records = append(records, concludedRecord(&j.units[0], *j.lastEnd, t.cfg.KeptAnswerBytes))
	}
	for i := range j.units {
		records = append(records, t.unitRecords(now, &j.units[i])...)
	}
	if j.cancelled && len(records) > 0 {
		records = append(records, newRecord(RecordCancel, j))
	}
	return records
}

// unitRecords returns the records of the released intent and of the completions of the current
// round of a unit.
func (t *Table) unitRecords(now time.Time, u *unit) []Record {
	var records []Record
	if u.job.needsIntent() && u.state == unitRunning && len(u.live) > 0 {
		r := intentRecord(u)
		r.Time = now
		records = append(records, r)
	}
	for _, end := range u.ends {
		if task, ok := end.Attempt.Task(); ok {
			records = append(records, endRecord(u, task, end, t.cfg.KeptAnswerBytes))
		}
	}
	return records
}

// Snapshot returns records that replace all earlier records of the owned shards. Before the
// call, AcceptanceDurable, IntentDurable and OutcomeDurable must have been called for every
// record of their kind that the snapshot replaces. An acceptance or intent that is not durable
// yet is not included; it follows in the journal.
func (t *Table) Snapshot(now time.Time) []Record {
	var records []Record
	for _, s := range t.shards {
		if s == nil {
			continue
		}
		for _, j := range s.jobsByArrival() {
			records = append(records, t.jobRecords(now, j)...)
		}
	}
	return records
}
