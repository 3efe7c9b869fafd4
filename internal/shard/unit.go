package shard

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// unitState is the state of a unit.
type unitState uint8

const (
	unitIdle    unitState = iota // may not start yet: blocked by its ordering key, held, frozen or not accepted
	unitReady                    // in its class queue
	unitBackoff                  // waits for a backoff before it becomes ready again
	unitIntent                   // has a grant; its intent record is not durable yet
	unitRunning                  // has attempts that were released for dispatch
	unitDone                     // will not be started again
)

// unit is what is started together: the only task of a request or job, all tasks of a gang, or
// one replica of a service. One grant covers it; a gang may use several grants with Hold.
type unit struct {
	job             *job
	first           int // first task
	count           int // tasks
	state           unitState
	failedEndpoints []string // on which it failed
	round           int      // current round; each round creates one attempt per task
	retries         int      // retries after a started attempt
	unstarted       int      // consecutive rounds in which no attempt started
	stopping        bool     // its live attempts are being stopped
	live            []*attempt
	ends            []model.Settled // completions of attempts of the current round
	heldGrants      []model.Grant   // grants of a gang that is not fully covered yet
	notBefore       time.Time
	position        int
}

// attempt is one live attempt: it was created for a grant or adopted from an earlier owner, and
// its completion is not known yet.
type attempt struct {
	id       model.AttemptID
	unit     *unit
	task     int
	pool     model.PoolID
	endpoint string
	grant    model.Grant
}

func (u *unit) dueTime() time.Time { return u.notBefore }
func (u *unit) setIndex(i int)     { u.position = i }
func (u *unit) index() int         { return u.position }

// unitArrivedBefore orders units by the arrival of their request, then by task.
func unitArrivedBefore(a, b *unit) bool {
	if !a.job.arrived.Equal(b.job.arrived) {
		return a.job.arrived.Before(b.job.arrived)
	}
	if a.job.seq != b.job.seq {
		return a.job.seq < b.job.seq
	}
	return a.first < b.first
}

// acceptsEndpoints reports whether the unit failed on none of the endpoints.
func (u *unit) acceptsEndpoints(endpoints []string) bool {
	for _, e := range endpoints {
		if slices.Contains(u.failedEndpoints, e) {
			return false
		}
	}
	return true
}

// coveredTasks returns how many tasks the held grants cover.
func (u *unit) coveredTasks() int {
	n := 0
	for _, g := range u.heldGrants {
		n += len(g.Endpoints)
	}
	return n
}

// removeLive removes the attempt from the live attempts and reports whether it was one of
// them.
func (u *unit) removeLive(id model.AttemptID) bool {
	for i, a := range u.live {
		if a.id == id {
			u.live = slices.Delete(u.live, i, i+1)
			return true
		}
	}
	return false
}

// instance returns the instance of the endpoint that the grant named, or "" if the grant is
// not known.
func (a *attempt) instance() string {
	for i, e := range a.grant.Endpoints {
		if e == a.endpoint && i < len(a.grant.Instances) {
			return a.grant.Instances[i]
		}
	}
	return ""
}
