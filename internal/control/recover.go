package control

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/ctxtime"
)

// A panic doesn't end the process. What follows depends on where it happens:
//
//   - In a call to the store, a runner or the advice service, in a decoder, or in the handler of another process's call,
//     the caller gets errPanic. It is no certain outcome: a start or a commit may have been executed.
//   - A background loop is started again after restartPause.
//   - In the event loop the ownership ends and a successor loads the durable state. The event is not dropped: it may have
//     changed a part of the scheduler's state, and a task whose run is no longer known would be started twice.

const (
	// restartPause is the pause before a background loop that has panicked runs again.
	restartPause = 200 * time.Millisecond
	// claimPauseAfterPanic is how long a process whose event loop has panicked leaves the claim to other processes.
	claimPauseAfterPanic = time.Second
	// maxPanicText and maxPanicStack bound the line that reports a panic, in bytes.
	maxPanicText  = 300
	maxPanicStack = 4000
)

// errPanic is the error of a call that panicked. Whether it had an effect is not known.
var errPanic = errors.New("internal error during the call")

// logPanic logs a recovered panic with its stack. It must be called by the deferred function that has recovered.
func (n *Node) logPanic(where string, value any) {
	if n == nil || n.dep.Log == nil {
		return
	}
	text, stack := fmt.Sprint(value), string(debug.Stack())
	n.dep.Log.Log("panic", logrus.Fields{
		"where": where, "error": text[:min(len(text), maxPanicText)], "stack": stack[:min(len(stack), maxPanicStack)],
	})
}

// recoverCall turns a panic of the deferring function into errPanic.
func (n *Node) recoverCall(where string, err *error) {
	if value := recover(); value != nil {
		n.logPanic(where, value)
		*err = errPanic
	}
}

// goProtected runs f in a goroutine whose panic is logged.
func (n *Node) goProtected(where string, f func()) {
	go func() {
		var err error // logged by recoverCall
		defer n.recoverCall(where, &err)
		f()
	}()
}

// keepRunning runs a background loop until ctx is done, also after a panic.
func (n *Node) keepRunning(ctx context.Context, where string, loop func(ctx context.Context)) {
	for {
		err := func() (err error) {
			defer n.recoverCall(where, &err)
			loop(ctx)
			return nil
		}()
		if err == nil || ctx.Err() != nil {
			return
		}
		ctxtime.Sleep(ctx, restartPause)
	}
}

// endOnPanic ends the ownership after a panic of its event loop.
func (o *ownership) endOnPanic() {
	if value := recover(); value != nil {
		o.n.logPanic("event loop", value)
		o.n.loopPanickedAt.Store(int64(o.n.clock.Now()))
		o.stepDown("its event loop panicked")
	}
}

// leavesClaimToOthers reports whether the event loop of this process has panicked within claimPauseAfterPanic.
func (n *Node) leavesClaimToOthers() bool {
	at := time.Duration(n.loopPanickedAt.Load())
	return at > 0 && n.clock.Now()-at < claimPauseAfterPanic
}
