package control

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"syscall"
	"testing"

	"github.com/samber/oops"
)

// TestClosedConnectionIsNotSilence guards against a runner that is cut off, or a failure of this process, which counts as the
// end of the runner's process.
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
		{nil, false},
	} {
		if got := closedByRunner(c.err); got != c.closed {
			t.Errorf("%v: closed %t, want %t", c.err, got, c.closed)
		}
	}
}
