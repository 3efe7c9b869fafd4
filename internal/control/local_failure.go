package control

import (
	"context"
	"errors"
	"os"
	"syscall"
)

// errPaused is the error of a call that ended late because this process itself was paused.
var errPaused = errors.New("this process was paused during the call")

// localFailures are the errors of a call that this process or its VM could not make. They say nothing about the called
// runner, peer or store.
var localFailures = []error{
	errPaused, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// TimedOut reports whether a call ended because of its timeout.
func TimedOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}

// LocalFailure reports whether a call failed because of this process or its VM and was not sent.
func LocalFailure(err error) bool {
	for _, local := range localFailures {
		if errors.Is(err, local) {
			return true
		}
	}
	return false
}
