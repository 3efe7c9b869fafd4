package balance

import (
	"math/rand"

	"github.com/agateyard/agateyard/internal/model"
)

// maxRetryPools limits the number of pools per call from which grants for retries are
// requested. Demand is reported several times per second, each time with newly chosen pools.
const maxRetryPools = 8

// AddRetryPools requests grants for the retries in a demand from random pools with free
// capacity, in addition to those that Split has requested. A retry does not accept the
// endpoints on which it failed, which may be all endpoints of the pools that Split chose, and
// a summary does not show that. Unneeded grants are returned.
func AddRetryPools(out map[model.PoolID]int, d model.Demand, pools []model.PoolSummary, rnd *rand.Rand) {
	chosen := 0
	for _, i := range rnd.Perm(len(pools)) {
		p := pools[i]
		if chosen == maxRetryPools {
			return
		}
		if p.Endpoint == 0 || !d.Resources.Fits(p.Biggest) {
			continue
		}
		if c := newCandidate(d, p); c.units > 0 && out[p.Pool] < d.Retried {
			out[p.Pool] = min(d.Retried, max(out[p.Pool], c.units))
			chosen++
		}
	}
}
