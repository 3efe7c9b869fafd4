package model

// Settled is the completion of an attempt, as reported to the shard owner.
type Settled struct {
	Attempt   AttemptID
	End       AttemptEnd
	Endpoint  string
	Answer    Answer // with AttemptEnded
	HasAnswer bool   // false if the endpoint no longer has the answer
	Stopped   bool   // by a cancellation, the run limit, preemption or expiry of the lease
	RunMS     int64
}

// AttemptState is what a pool owner knows about an attempt.
type AttemptState struct {
	Attempt  AttemptID
	Endpoint string
	Running  bool     // started or may have started; completion not known yet
	Settled  *Settled // completion; nil when not known
}
