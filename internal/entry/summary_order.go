package entry

import (
	"maps"
	"slices"

	"github.com/agateyard/agateyard/internal/model"
)

// summaryOrder caches the sorted identifiers of the known pools, so that listing
// the summaries of 1,000 pools does not sort them each time.
type summaryOrder struct {
	ids []model.PoolID
}

// list returns the summaries in a new slice, ordered by pool.
func (o *summaryOrder) list(summaries map[model.PoolID]model.PoolSummary) []model.PoolSummary {
	if out, ok := o.listInOrder(summaries); ok {
		return out
	}
	o.ids = slices.Sorted(maps.Keys(summaries))
	out, _ := o.listInOrder(summaries)
	return out
}

// listInOrder lists the summaries in the cached order. It returns false if the
// set of pools has changed.
func (o *summaryOrder) listInOrder(summaries map[model.PoolID]model.PoolSummary) ([]model.PoolSummary, bool) {
	if len(o.ids) != len(summaries) {
		return nil, false
	}
	out := make([]model.PoolSummary, 0, len(o.ids))
	for _, id := range o.ids {
		s, ok := summaries[id]
		if !ok {
			return nil, false
		}
		out = append(out, s)
	}
	return out, true
}
