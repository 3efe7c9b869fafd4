package pool

import "errors"

var (
	// ErrGrantInvalid means that the grant can't be used: the attempts have definitely not started.
	ErrGrantInvalid = errors.New("grant is void")
	// ErrDuplicateAttempt means that an attempt of the dispatch was seen before: it
	// may have started, and its state is in Pool.Attempts.
	ErrDuplicateAttempt = errors.New("attempt is known already")
)
