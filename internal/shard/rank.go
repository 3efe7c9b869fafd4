package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// rank is the position of a class queue among all class queues. Urgency is strict: less urgent
// work never delays urgent work, however long it has waited.
type rank struct {
	queue  *classQueue
	oldest time.Time
	score  float64 // weighted recent starts of the workspace minus the credit for age
}

// compareRanks orders ranks by urgency, most urgent first, then by score, so that the
// workspace furthest below its share comes first, then by age.
func compareRanks(a, b rank) int {
	return cmp.Or(
		cmp.Compare(b.queue.template.Urgency, a.queue.template.Urgency),
		cmp.Compare(a.score, b.score),
		a.oldest.Compare(b.oldest),
	)
}

// ranks returns the ranks of all queues with ready work, in scheduling order.
func (t *Table) ranks(now time.Time) []rank {
	var ranks []rank
	for _, template := range t.templatesByName {
		for _, q := range template.queues {
			if u := q.oldest(); u != nil {
				ranks = append(ranks, t.rankOf(now, q, u))
			}
		}
	}
	slices.SortStableFunc(ranks, compareRanks)
	return ranks
}

// rankOf returns the rank of a queue, given its oldest unit.
func (t *Table) rankOf(now time.Time, q *classQueue, oldest *unit) rank {
	usage := t.workspace(q.template.ID.Workspace).usage.read(now, t.cfg.RateWindow)
	age := max(0, now.Sub(oldest.job.arrived)).Seconds()
	return rank{
		queue:  q,
		oldest: oldest.job.arrived,
		score:  usage/q.template.weight() - age*t.cfg.AgeingPerSecond,
	}
}

// Demand returns the ready work of all owned shards by template and size class, most urgent
// first, then by the workspace furthest below its share (with a credit for age), then by age.
func (t *Table) Demand(now time.Time) []model.Demand {
	ranks := t.ranks(now)
	demand := make([]model.Demand, 0, len(ranks))
	for _, r := range ranks {
		demand = append(demand, model.Demand{
			Template:  r.queue.template.ID,
			Resources: r.queue.sizeClass.resources,
			Tasks:     r.queue.sizeClass.tasks,
			Count:     r.queue.size(),
			Retried:   r.queue.retried.Len(),
			Oldest:    r.oldest,
		})
	}
	return demand
}
