package shard

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Count sums up the work of one template.
type Count struct {
	Template model.TemplateID
	Queued   int       // requests that have not started
	Running  int       // requests with live attempts
	Oldest   time.Time // arrival of the oldest ready request; zero without one
}

// Counts returns the work of every template with some, by template name. Its
// cost grows with the live attempts and not with the queue.
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
	for _, template := range t.ordered {
		c := Count{Template: template.ID, Queued: template.entries, Running: len(running[template])}
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
