package model

// Settled tells a shard owner how an attempt ended.
type Settled struct {
	Attempt   AttemptID
	End       AttemptEnd
	Endpoint  string
	Answer    Answer // with AttemptEnded
	HasAnswer bool   // false where the endpoint no longer has the answer
	Stopped   bool   // by cancel, run limit, preemption or lapse of the lease
	RunMS     int64
}

// AttemptState is what a pool owner knows of an attempt.
type AttemptState struct {
	Attempt  AttemptID
	Endpoint string
	Running  bool     // started or may have started, end not known yet
	Settled  *Settled // end known
}
