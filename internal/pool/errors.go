package pool

import "errors"

var (
	// ErrGrantVoid means that the grant can't be used: the attempts have definitely not started.
	ErrGrantVoid = errors.New("grant is void")
	// ErrAttemptKnown means that an attempt of the dispatch was seen before: it
	// may have started, and its state is in Pool.Attempts.
	ErrAttemptKnown = errors.New("attempt is known already")
)
