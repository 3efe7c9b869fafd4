package endpoint

import "errors"

// Definite refusals: the attempt did not start and will not.
var (
	ErrStaleToken = errors.New("fencing token is stale")
	ErrRepeated   = errors.New("attempt was seen before") // the earlier arrival may have run
	ErrExpired    = errors.New("start limit has passed")
	ErrNoCapacity = errors.New("no room for the attempt")
	ErrLeaving    = errors.New("endpoint is leaving")
	ErrNotSent    = errors.New("command was not sent") // no connection; nothing reached the endpoint
	ErrBadRequest = errors.New("endpoint refused the command as malformed")
	ErrCancelled  = errors.New("attempt was cancelled before it started")
	ErrNoLease    = errors.New("owner holds no lease on the endpoint") // open or renew the session first
)

// ErrOutcomeUnknown means that the command was sent and its end is not known.
var ErrOutcomeUnknown = errors.New("reply of endpoint lost")
