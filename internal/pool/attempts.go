package pool

import (
	"slices"
	"strings"

	"github.com/agateyard/agateyard/internal/model"
)

// Attempts returns the unsettled and the recently settled attempts of the shards,
// ordered by identifier. complete is true if the VM list is known and every
// endpoint has reported under this owner's token or is in Unreachable.
func (p *Pool) Attempts(shards map[model.ShardID]bool) (states []model.AttemptState, complete bool) {
	for id, a := range p.attempts {
		if !a.chargeOnly && inShards(id, shards) {
			states = append(states, model.AttemptState{Attempt: id, Endpoint: a.endpoint.id, Running: true})
		}
	}
	for id, rec := range p.settled {
		if inShards(id, shards) {
			s := rec.settled
			states = append(states, model.AttemptState{Attempt: id, Endpoint: s.Endpoint, Settled: &s})
		}
	}
	slices.SortFunc(states, func(a, b model.AttemptState) int {
		return strings.Compare(string(a.Attempt), string(b.Attempt))
	})
	return states, p.complete()
}

func inShards(id model.AttemptID, shards map[model.ShardID]bool) bool {
	shard, ok := id.Shard()
	return ok && shards[shard]
}

func (p *Pool) complete() bool {
	if !p.endpointsListed {
		return false
	}
	for _, e := range p.ordered {
		if !e.reported && !e.unreachable(&p.cfg) {
			return false
		}
	}
	return true
}
