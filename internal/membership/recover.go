package membership

import (
	"errors"
	"runtime/debug"

	"github.com/sirupsen/logrus"
)

// ErrPanic means that a goroutine of the manager panicked. The process has to start as a
// new incarnation.
var ErrPanic = errors.New("internal error in the membership")

// protected returns a function that calls f and returns ErrPanic if it panics, since a panic
// in a goroutine would end the process.
func protected(f func() error) func() error {
	return func() (err error) {
		defer func() {
			if value := recover(); value != nil {
				logrus.Errorf("membership: panic: %v\n%s", value, debug.Stack())
				err = ErrPanic
			}
		}()
		return f()
	}
}
