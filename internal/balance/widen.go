package balance

import (
	"math/rand"

	"github.com/agateyard/agateyard/internal/model"
)

// widenPools is the number of further pools that are asked for repeats at a
// time. Demand is restated several times a second, each time with other pools.
const widenPools = 8

// AddRetryPools asks further pools for the repeats in a demand. A repeat does not take
// the endpoints that failed it, which may be all of the pools that Split chose,
// and a summary does not tell. Grants beyond the need are returned.
func AddRetryPools(out map[model.PoolID]int, d model.Demand, pools []model.PoolSummary, rnd *rand.Rand) {
	asked := 0
	for _, i := range rnd.Perm(len(pools)) {
		p := pools[i]
		if asked == widenPools {
			return
		}
		if p.Endpoint == 0 || !d.Resources.Fits(p.Biggest) {
			continue
		}
		if c := newCandidate(d, p); c.units > 0 && out[p.Pool] < d.Retried {
			out[p.Pool] = min(d.Retried, max(out[p.Pool], c.units))
			asked++
		}
	}
}
