package entry

import (
	"errors"
	"runtime/debug"
)

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
