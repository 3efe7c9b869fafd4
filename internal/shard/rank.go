package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// rank is the place of a class queue among all of them. Urgency is strict, so
// that no age of less urgent work delays urgent work.
type rank struct {
	queue  *classQueue
	oldest time.Time
	score  float64 // weighted recent starts of the workspace less the credit for age
}

// compareRanks orders ranks: most urgent, then furthest below its share, then oldest.
func compareRanks(a, b rank) int {
	return cmp.Or(
		cmp.Compare(b.queue.template.Urgency, a.queue.template.Urgency),
		cmp.Compare(a.score, b.score),
		a.oldest.Compare(b.oldest),
	)
}

// ranks returns all queues with ready work in their order.
func (t *Table) ranks(now time.Time) []rank {
	var ranks []rank
	for _, template := range t.ordered {
		for _, q := range template.queues {
			if u := q.oldest(); u != nil {
				ranks = append(ranks, t.rankOf(now, q, u))
			}
		}
	}
	slices.SortStableFunc(ranks, compareRanks)
	return ranks
}

// rankOf returns the rank of a queue with its oldest unit.
func (t *Table) rankOf(now time.Time, q *classQueue, oldest *unit) rank {
	usage := t.workspace(q.template.ID.Workspace).usage.read(now, t.cfg.RateWindow)
	age := max(0, now.Sub(oldest.job.arrived)).Seconds()
	return rank{
		queue:  q,
		oldest: oldest.job.arrived,
		score:  usage/q.template.weight() - age*t.cfg.AgeingPerSecond,
	}
}

// Demand returns the ready work of all owned shards by template and size class,
// most urgent first, then the workspace furthest below its share, then by age.
func (t *Table) Demand(now time.Time) []model.Demand {
	ranks := t.ranks(now)
	demand := make([]model.Demand, 0, len(ranks))
	for _, r := range ranks {
		demand = append(demand, model.Demand{
			Template:  r.queue.template.ID,
			Resources: r.queue.class.resources,
			Tasks:     r.queue.class.tasks,
			Count:     r.queue.size(),
			Retried:   r.queue.retried.Len(),
			Oldest:    r.oldest,
		})
	}
	return demand
}
