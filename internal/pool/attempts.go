package pool

import (
	"slices"
	"strings"

	"github.com/agateyard/agateyard/internal/model"
)

// Attempts returns the attempts of the shards, unsettled or settled lately, in
// order. It is complete when the VM list is known and every endpoint has
// reported under this owner's token or is in Unreachable.
func (p *Pool) Attempts(shards map[model.ShardID]bool) (states []model.AttemptState, complete bool) {
	for id, a := range p.attempts {
		if !a.told && inShards(id, shards) {
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
	if !p.listed {
		return false
	}
	for _, e := range p.ordered {
		if !e.reported && !e.unreachable(&p.cfg) {
			return false
		}
	}
	return true
}
