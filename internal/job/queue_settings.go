package job

import (
	"math"
	"time"

	"github.com/samber/oops"
)

// QueueSettings are the settings of a queue by which its jobs run. They are stored with each job, so that a successor can
// run it after the configuration has dropped the queue. Times are in nanoseconds.
type QueueSettings struct {
	Service   string        `json:"service"`
	Priority  int           `json:"priority,omitempty"`
	Attempts  int           `json:"attempts,omitempty"`
	Stretch   float64       `json:"stretch,omitempty"`
	Objective time.Duration `json:"objective,omitempty"`
	// Advice is nil if the queue needs no advice.
	Advice *AdviceSettings `json:"advice,omitempty"`
}

// AdviceSettings are the durations of advice calls and tickets of a queue, see scheduler.AdvicePolicy.
type AdviceSettings struct {
	PerCall   time.Duration `json:"call,omitempty"`
	PerRunner time.Duration `json:"runner,omitempty"`
	TicketTTL time.Duration `json:"ticket,omitempty"`
}

// maxObjective bounds the times of stored settings, so that sums with the current time stay in range.
const maxObjective = 90 * 24 * time.Hour

// check returns an error if a figure is out of range.
func (q *QueueSettings) check() error {
	if q == nil {
		return nil
	}
	times := []time.Duration{q.Objective}
	if q.Advice != nil {
		times = append(times, q.Advice.PerCall, q.Advice.PerRunner, q.Advice.TicketTTL)
	}
	for _, t := range times {
		if t < -maxObjective || t > maxObjective {
			return oops.Errorf("queue settings: %s is out of range", t)
		}
	}
	if q.Stretch < 0 || q.Stretch > MaxStretch || math.IsNaN(q.Stretch) {
		return oops.Errorf("queue settings: stretch %g is out of range", q.Stretch)
	}
	return nil
}

// MaxStretch bounds the factor of a job's objective, so that the objective stays in the range of a Duration.
const MaxStretch = 1000
