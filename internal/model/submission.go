package model

import "time"

// Submission is a caller's request as it is sent to the shard owner.
type Submission struct {
	Key         RequestKey
	Async       bool // answered with an acceptance; the answer is fetched later
	ContentType string
	Body        []byte
	MaxWait     time.Duration // how long the work may wait for its start; 0 for the template's value
	Resent      bool          // resubmitted by the caller's entry process after a call that may have reached a shard owner
}

// Reason is a machine-readable code that explains an outcome, such as why a request did not
// run.
type Reason string

// The reasons.
const (
	ReasonUnknownTemplate Reason = "unknown-template"
	ReasonInfeasible      Reason = "infeasible"       // no known endpoint could ever run it, or its body is too large to accept
	ReasonOverload        Reason = "overload"         // predicted wait exceeds what the caller may wait
	ReasonQueueFull       Reason = "queue-full"       // bound on entries or bytes reached
	ReasonWaitExceeded    Reason = "wait-exceeded"    // not started within the time the caller may wait
	ReasonStoreDown       Reason = "store-down"       // needs the journal, which is not writable
	ReasonNoOwner         Reason = "no-owner"         // the shard has no reachable owner
	ReasonIDTooOld        Reason = "id-too-old"       // identifier older than the retention, or not a UUIDv7
	ReasonIDInFuture      Reason = "id-in-future"     // identifier timestamp is beyond the allowed clock skew
	ReasonCancelled       Reason = "cancelled"        // by the caller
	ReasonAttemptLost     Reason = "attempt-lost"     // started or may have started; result not known
	ReasonRetriesSpent    Reason = "retries-spent"    // the last attempt's result is not known, and no retry is allowed
	ReasonRecordConflict  Reason = "id-reused"        // identifier was already used with a different body
	ReasonStopping        Reason = "stopping"         // the process is shutting down
	ReasonStopped         Reason = "stopped"          // by the run limit or for more urgent work
	ReasonMoved           Reason = "moved"            // the shard has another owner; internal, leads to a resubmission
	ReasonRecovering      Reason = "recovering"       // earlier attempts of the shard are still being recovered
	ReasonAnswerTooLarge  Reason = "answer-too-large" // ran; the answer was not kept
)

// Reply is the reply to a submission.
type Reply struct {
	Accepted   bool // asynchronous work is recorded; there is no outcome yet
	Outcome    Outcome
	Answer     Answer // only with OutcomeRan
	Reason     Reason
	Detail     string
	RetryAfter time.Duration // 0 if retrying is of no use
	Joined     bool          // the identifier was already known; the reply is that of the earlier request
}

// JobState is the state of a request at its shard owner.
type JobState string

// The states of a job.
const (
	JobQueued  JobState = "queued"
	JobRunning JobState = "running"
	JobDone    JobState = "done" // has an outcome
)

// JobStatus is the status of a request as returned by status calls.
type JobStatus struct {
	Key         RequestKey `json:"key"`
	State       JobState   `json:"state"`
	Outcome     Outcome    `json:"outcome,omitempty"`
	Reason      Reason     `json:"reason,omitempty"`
	SubmittedAt time.Time  `json:"submitted_at"`
	StartedAt   time.Time  `json:"started_at,omitzero"`
	EndedAt     time.Time  `json:"ended_at,omitzero"`
	Running     int        `json:"running_tasks"`
	Tasks       int        `json:"tasks"`
	Attempts    int        `json:"attempts"`
	Answer      *Answer    `json:"-"`
}

// CancelResult is the result of cancelling one request.
type CancelResult struct {
	Key     RequestKey `json:"key"`
	Found   bool       `json:"found"`
	Outcome Outcome    `json:"outcome"` // not-run only if it certainly never started; unknown while it is running, held or being accepted
}
