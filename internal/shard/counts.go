package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Count summarizes the work of one template.
type Count struct {
	Template model.TemplateID
	Queued   int       // requests that have not started, including those that wait for their intent record
	Running  int       // requests with live attempts, including those that wait for their intent record
	Oldest   time.Time // arrival of the oldest ready request; zero without one
}

// Counts returns a Count for every template that has work, ordered by workspace and name. Its
// cost grows with the number of live attempts, not with the queue length.
func (t *Table) Counts() []Count {
	running := make(map[*templateState]map[*job]bool)
	for _, a := range t.attempts {
		template := a.unit.job.template
		if running[template] == nil {
			running[template] = make(map[*job]bool)
		}
		running[template][a.unit.job] = true
	}
	var out []Count
	for _, template := range t.templatesByName {
		c := Count{Template: template.ID, Queued: template.queueEntries, Running: len(running[template])}
		for _, q := range template.queues {
			if u := q.oldest(); u != nil && (c.Oldest.IsZero() || u.job.arrived.Before(c.Oldest)) {
				c.Oldest = u.job.arrived
			}
		}
		if c.Queued+c.Running > 0 {
			out = append(out, c)
		}
	}
	return out
}
