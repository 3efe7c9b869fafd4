package entry

import (
	"maps"
	"slices"

	"github.com/agateyard/agateyard/internal/model"
)

// summaryOrder keeps the identifiers of the known pools in order, so that
// listing the summaries of 1,000 pools does not sort them each time.
type summaryOrder struct {
	ids []model.PoolID
}

// list returns the summaries ordered by pool in a new slice.
func (o *summaryOrder) list(summaries map[model.PoolID]model.PoolSummary) []model.PoolSummary {
	if out, ok := o.known(summaries); ok {
		return out
	}
	o.ids = slices.Sorted(maps.Keys(summaries))
	out, _ := o.known(summaries)
	return out
}

// known lists the summaries, or returns false when the set of pools has changed.
func (o *summaryOrder) known(summaries map[model.PoolID]model.PoolSummary) ([]model.PoolSummary, bool) {
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
