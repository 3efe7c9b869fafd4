package control

import (
	"errors"
	"io"
	"syscall"
)

// errClosedByRunner marks the error of a relayed call that the runner ended by closing or refusing the connection.
var errClosedByRunner = errors.New("the runner closed the connection")

// ErrReplaced is the error of a call to a runner at whose address another one answers.
var ErrReplaced = errors.New("another runner answers at the address")

// ErrOtherIncarnation is the error of a call that was not sent because the connection leads to another incarnation of the
// runner than the one that is called.
var ErrOtherIncarnation = errors.New("another incarnation of the runner answers")

// closedErrors are the errors of a connection whose other end was closed or refused it. The host of the runner answers, but
// its process doesn't.
var closedErrors = []error{errClosedByRunner, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE}

// closedByRunner reports whether a call failed because the runner closed or refused the connection. A runner that is cut off
// or has lost power says nothing instead. The connection to a relaying process, or a failure of this one, says nothing about the
// runner.
func closedByRunner(err error) bool {
	if errors.Is(err, errRelay) || LocalFailure(err) {
		return false
	}
	for _, closed := range closedErrors {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
