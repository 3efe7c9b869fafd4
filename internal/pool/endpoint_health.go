package pool

import "time"

// maxStreak bounds the remembered failures of an endpoint.
const maxStreak = 16

// endpointHealth is the record of failures of an endpoint.
type endpointHealth struct {
	streak      []*templateState // templates of the failures since the last success
	quarantined bool
	probing     bool // a probe is granted or running
	nextProbe   time.Time
	interval    time.Duration
}

func (h *endpointHealth) addFailure(t *templateState) {
	h.streak = append(h.streak, t)
	if len(h.streak) > maxStreak {
		h.streak = append(h.streak[:0], h.streak[1:]...)
	}
}

// evidence counts the failures in a row that speak against the endpoint: all
// of templates known to succeed elsewhere, and one for each other template.
// Broken templates count for nothing.
func (h *endpointHealth) evidence(id string) int {
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
