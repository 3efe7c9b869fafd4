package shard

import (
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// unitState is the state of a unit.
type unitState uint8

const (
	unitIdle    unitState = iota // not its turn: blocked, held or not accepted
	unitReady                    // in its class queue
	unitBackoff                  // waits before it becomes ready again
	unitIntent                   // has a grant; its intent record is not durable
	unitRunning                  // has live attempts
	unitOver                     // starts no more
)

// unit is what one grant starts: the task of a job, all tasks of a gang, or
// one replica of a service.
type unit struct {
	job       *job
	first     int // first task
	count     int // tasks
	state     unitState
	failed    []string // endpoints that failed it
	round     int      // how often it was started
	retries   int      // repeats after a started attempt
	refused   int      // successive attempts that did not start
	stopping  bool     // its live attempts are being stopped
	live      []*attempt
	ends      []model.Settled // of the current generation
	held      []model.Grant   // parts of a gang that is not covered yet
	notBefore time.Time
	position  int
}

// attempt is one live attempt.
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

// olderUnit orders units by arrival of their request, then by task.
func olderUnit(a, b *unit) bool {
	if !a.job.arrived.Equal(b.job.arrived) {
		return a.job.arrived.Before(b.job.arrived)
	}
	if a.job.seq != b.job.seq {
		return a.job.seq < b.job.seq
	}
	return a.first < b.first
}

// accepts reports whether the unit failed on none of the endpoints.
func (u *unit) accepts(endpoints []string) bool {
	for _, e := range endpoints {
		if slices.Contains(u.failed, e) {
			return false
		}
	}
	return true
}

// covered returns how many tasks the held grants cover.
func (u *unit) covered() int {
	n := 0
	for _, g := range u.held {
		n += len(g.Endpoints)
	}
	return n
}

// dropLive removes the attempt from the live ones and reports whether it was there.
func (u *unit) dropLive(id model.AttemptID) bool {
	for i, a := range u.live {
		if a.id == id {
			u.live = slices.Delete(u.live, i, i+1)
			return true
		}
	}
	return false
}

// instance returns the instance of the endpoint that the grant named, "" when
// the grant is not known.
func (a *attempt) instance() string {
	for i, e := range a.grant.Endpoints {
		if e == a.endpoint && i < len(a.grant.Instances) {
			return a.grant.Instances[i]
		}
	}
	return ""
}
