package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"syscall"
	"testing"

	"github.com/samber/oops"
)

// TestClosedConnectionIsNotSilence guards against a runner that is cut off, a failure of this process, or the end of a relaying
// process, which counts as the end of the runner's process.
func TestClosedConnectionIsNotSilence(t *testing.T) {
	for _, c := range []struct {
		err    error
		closed bool
	}{
		{&url.Error{Op: "Post", URL: "http://r/hold", Err: io.EOF}, true},
		{oops.Wrapf(fmt.Errorf("dial: %w", syscall.ECONNREFUSED), "poll"), true},
		{syscall.ECONNRESET, true},
		{context.DeadlineExceeded, false},
		{context.Canceled, false},
		{syscall.EMFILE, false},
		{syscall.EHOSTUNREACH, false},
		{oops.Errorf("status 500"), false},
		{errors.Join(errRelay, io.ErrUnexpectedEOF), false}, // the relaying process has ended
		{errors.Join(errRelay, syscall.ECONNRESET), false},
		{errors.Join(errPaused, syscall.ECONNRESET), false},
		{nil, false},
	} {
		if got := closedByRunner(c.err); got != c.closed {
			t.Errorf("%v: closed %t, want %t", c.err, got, c.closed)
		}
	}
}
