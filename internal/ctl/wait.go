package ctl

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/agateyard/agateyard/internal/gateway"
)

// waitPoll is the time between two looks at the cell, plus up to half of it, so
// that many operators at once don't ask in step.
const waitPoll = 200 * time.Millisecond

// waitInForce returns when every member of the cell reports the revision, or a
// *waitError when the time limit passes.
func (a *app) waitInForce(ctx context.Context, c *client, applied gateway.AppliedChange) error {
	ctx, cancel := context.WithTimeout(ctx, a.waitFor)
	defer cancel()
	failed := &waitError{document: applied.Document, revision: applied.Revision}
	for {
		var status gateway.CellStatus
		err := c.do(ctx, call{method: "GET", path: "/v1/status"}, &status)
		if err == nil {
			ok, lacking := status.InForce(applied.Document, applied.Revision)
			if ok {
				return nil
			}
			failed.lacking = lacking
		}
		select {
		case <-ctx.Done():
			return failed
		case <-time.After(waitPoll + rand.N(waitPoll/2)):
		}
	}
}
