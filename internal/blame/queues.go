package blame

import (
	"math"
	"time"
)

const (
	// maxEvidence and missEvidence bound what one loss says about a queue, as the logarithm of a likelihood ratio: that a
	// run of the queue had just been started there, and that none had.
	maxEvidence  = 2.5
	missEvidence = 1.5
	// harmfulAbove is the evidence from which on a queue counts as harmful, odds of 30 to 1; harmlessBelow is where it stops.
	harmfulAbove  = 3.4
	harmlessBelow = 1.0
	// evidenceLimit bounds the evidence against a queue, so that it is trusted again some seconds after the last loss.
	evidenceLimit = 4.4
	// evidenceMemory is the time in which evidence decays by a factor of e.
	evidenceMemory = 3 * time.Second
	// minChance is the least assumed probability that a runner had just been given a run of a queue.
	minChance = 0.02
)

// Queues estimates whose new tasks crash runners. A queue is harmful if runs of it had been started on lost runners, right
// before the loss, clearly more often than on the others.
type Queues struct {
	evidence map[string]*evidence
}

type evidence struct {
	value   float64
	at      time.Duration
	harmful bool
}

func (e *evidence) decay(now time.Duration) {
	e.value *= math.Exp(-float64(now-e.at) / float64(evidenceMemory))
	e.at = now
}

// Observe takes a loss into account. started names the queues of the runs that had just been started on the lost runner; chance
// is the share of the other runners on which a run of a queue had just been started.
func (q *Queues) Observe(now time.Duration, started map[string]bool, chance map[string]float64) {
	if q.evidence == nil {
		q.evidence = map[string]*evidence{}
	}
	for name := range started {
		if q.evidence[name] == nil {
			q.evidence[name] = &evidence{at: now}
		}
	}
	for name, e := range q.evidence {
		e.decay(now)
		if started[name] {
			e.value += min(-math.Log(min(max(chance[name], minChance), 1)), maxEvidence)
		} else {
			e.value -= missEvidence
		}
		e.value = min(max(e.value, 0), evidenceLimit)
		if e.value == 0 {
			delete(q.evidence, name)
			continue
		}
		e.harmful = e.harmful || e.value >= harmfulAbove
	}
}

// Harmful returns the queues whose new tasks are likely to crash runners; nil if there are none.
func (q *Queues) Harmful(now time.Duration) map[string]bool {
	var harmful map[string]bool
	for name, e := range q.evidence {
		if !e.harmful {
			continue
		}
		e.decay(now)
		e.harmful = e.value >= harmlessBelow
		if !e.harmful {
			continue
		}
		if harmful == nil {
			harmful = map[string]bool{}
		}
		harmful[name] = true
	}
	return harmful
}
