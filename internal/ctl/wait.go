package ctl

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/agateyard/agateyard/internal/gateway"
)

// waitPollInterval is the interval between status calls. Up to half of it is added at
// random, so that concurrent commands don't send their calls at the same time.
const waitPollInterval = 200 * time.Millisecond

// waitInForce returns nil as soon as every member of the cell reports the revision or
// a later one, or a *waitError when the time limit is reached or ctx ends.
func (a *app) waitInForce(ctx context.Context, c *client, applied gateway.AppliedChange) error {
	ctx, cancel := context.WithTimeout(ctx, a.waitTimeout)
	defer cancel()
	waitErr := &waitError{document: applied.Document, revision: applied.Revision}
	for {
		var status gateway.CellStatus
		err := c.do(ctx, call{method: "GET", path: "/v1/status"}, &status)
		if err == nil {
			ok, missing := status.InForce(applied.Document, applied.Revision)
			if ok {
				return nil
			}
			waitErr.missing = missing
		}
		select {
		case <-ctx.Done():
			return waitErr
		case <-time.After(waitPollInterval + rand.N(waitPollInterval/2)):
		}
	}
}
