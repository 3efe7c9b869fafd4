package entry

import (
	"errors"
	"runtime/debug"

	"github.com/agateyard/agateyard/internal/membership"
)

// A panic doesn't end the process. What follows depends on where it happens:
//
//   - In the handler of another process's call, in a call to an endpoint and in a decoder,
//     the caller gets errPanic. It is no certain outcome: the call may have had an effect.
//   - In the event loop and in a goroutine whose result the loop may wait for, the
//     incarnation ends, since its state may be changed by half. The next incarnation
//     joins anew, and the successors restore the shards from the journal.

// maxPanicStack bounds the stack in the line that reports a panic, in bytes.
const maxPanicStack = 4000

// errPanic is the error of a call that panicked. Whether it had an effect is not known.
var errPanic = errors.New("internal error during the call")

// recoverCall turns a panic of the deferring function into errPanic: net/rpc runs the
// handlers in goroutines of its own, where a panic would end the process.
func (n *Node) recoverCall(call string, failure *error) {
	value := recover()
	if value == nil {
		return
	}
	*failure = errPanic
	if n != nil && n.log != nil {
		stack := string(debug.Stack())
		n.log.WithField("call", call).WithField("stack", stack[:min(len(stack), maxPanicStack)]).Errorf("entry: a call panicked: %v", value)
	}
}

// protect calls f and returns errPanic if it panics.
func (n *Node) protect(where string, f func() error) (err error) {
	defer n.recoverCall(where, &err)
	return f()
}

// start runs f in a goroutine. A panic of f ends the incarnation.
func (n *Node) start(where string, f func()) {
	go func() {
		if n.protect(where, func() error { f(); return nil }) != nil {
			n.cancel(errPanic)
		}
	}()
}

// failed reports whether an incarnation that ended with err is to be followed by a new
// one after failureDelay: it was not replaced, but it can't go on.
func failed(err error) bool {
	return errors.Is(err, errPanic) || errors.Is(err, membership.ErrPanic)
}
