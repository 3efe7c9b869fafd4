package pool

import "time"

// maxStreak bounds the recorded failures of an endpoint.
const maxStreak = 16

// endpointHealth is the failure history of an endpoint.
type endpointHealth struct {
	streak      []*templateState // templates of the failures since the last success
	quarantined bool
	probing     bool // a probe is granted or running
	nextProbe   time.Time
	interval    time.Duration // of probes; doubled after each failed probe
}

func (h *endpointHealth) addFailure(t *templateState) {
	h.streak = append(h.streak, t)
	if len(h.streak) > maxStreak {
		h.streak = append(h.streak[:0], h.streak[1:]...)
	}
}

// attributableFailures counts the consecutive failures that are attributed to the
// endpoint: every failure of a template that is known to succeed elsewhere, and
// one failure of each other template. Broken templates are ignored.
func (h *endpointHealth) attributableFailures(id string) int {
	n := 0
	for i, t := range h.streak {
		if t.health.broken {
			continue
		}
		if t.health.succeededElsewhere(id) || !containsTemplate(h.streak[:i], t) {
			n++
		}
	}
	return n
}

func containsTemplate(list []*templateState, t *templateState) bool {
	for _, o := range list {
		if o == t {
			return true
		}
	}
	return false
}
