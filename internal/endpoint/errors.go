package endpoint

import "errors"

// Definite errors: the endpoint did not execute the command and will not. For
// ErrRepeated this holds for the repeated command only.
var (
	ErrStaleToken = errors.New("fencing token is stale")
	ErrRepeated   = errors.New("attempt was received before") // the first start command may have been executed
	ErrExpired    = errors.New("start deadline has passed")
	ErrNoCapacity = errors.New("not enough free capacity for the attempt")
	ErrLeaving    = errors.New("endpoint is leaving")
	ErrNotSent    = errors.New("command was not sent") // no byte of it was written to a connection
	ErrBadRequest = errors.New("command is invalid")
	ErrCancelled  = errors.New("attempt was cancelled before it started")
	ErrNoLease    = errors.New("owner holds no lease on the endpoint") // the owner must open or renew the session first
)

// ErrOutcomeUnknown means that the command may have been sent but no valid reply
// was received, so the endpoint may or may not have executed it.
var ErrOutcomeUnknown = errors.New("no valid reply, outcome of the command is unknown")
