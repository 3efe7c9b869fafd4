package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// EndpointStatus is the state of one endpoint for operators.
type EndpointStatus struct {
	Endpoint    string
	Capacity    model.Resources
	Charged     model.Resources
	Attempts    int // unsettled
	Grants      int // not used yet
	Schedulable bool
	Reported    bool // has reported under this owner's token
	Leaving     bool
	Removed     bool // no longer in the VM list, with unsettled attempts
	Quarantined bool
	Failures    int       // session calls without a reply, in a row
	LastReport  time.Time // when the call of the last report was sent
	NextProbe   time.Time // of a quarantined endpoint
}

// Status returns the state of every endpoint, in order.
func (p *Pool) Status() []EndpointStatus {
	out := make([]EndpointStatus, 0, len(p.ordered))
	for _, e := range p.ordered {
		out = append(out, e.status())
	}
	return out
}

func (e *endpointState) status() EndpointStatus {
	s := EndpointStatus{
		Endpoint:    e.id,
		Capacity:    e.capacity,
		Charged:     e.charged,
		Attempts:    len(e.attempts),
		Grants:      len(e.grants),
		Schedulable: e.active,
		Reported:    e.reported,
		Leaving:     e.leaving(),
		Removed:     e.removed,
		Quarantined: e.health.quarantined,
		Failures:    e.failures,
		LastReport:  e.lastSent,
	}
	if s.Quarantined {
		s.NextProbe = e.health.nextProbe
	}
	return s
}
