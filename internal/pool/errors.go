package pool

import "errors"

var (
	// ErrGrantInvalid means that the grant can't be used, for example because it
	// expired or was revoked. The attempts have definitely not started.
	ErrGrantInvalid = errors.New("grant is void")
	// ErrDuplicateAttempt means that an attempt of the dispatch was already
	// dispatched: it may have started, and its state is in Pool.Attempts.
	ErrDuplicateAttempt = errors.New("attempt is known already")
)
