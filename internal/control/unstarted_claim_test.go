package control

import (
	"context"
	"testing"
)

// TestUnstartedClaimIsReplacedAfterUnloadedTerms guards against a cell that waits up to 16 times as long as usual for a process
// that never starts the ownership that it has claimed, for example because it is about to stop: the longer silence that follows
// terms without a load is for owners that load.
func TestUnstartedClaimIsReplacedAfterUnloadedTerms(t *testing.T) {
	caller, claiming, o := claimInFlight(t)
	for range maxSilenceDoublings {
		o.Term, o.Rev = o.Term+1, o.Rev+1
		caller.view.setOwner(o, caller.clock.Now())
	}
	claiming.leaving.Store(true) // it becomes the owner no more
	eventually(t, 2*storeTimeout+ownerSilenceLimit, "the claim is regarded as replaced", func() bool {
		return caller.pingOwner(context.Background(), o) == ownerReplaced
	})
}
