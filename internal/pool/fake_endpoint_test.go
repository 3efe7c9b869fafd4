package pool

import (
	"fmt"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// fakeEndpoint implements the endpoint protocol, except that it doesn't check which
// instance a start is for. Its state is the reference that the pool is checked against.
type fakeEndpoint struct {
	id        string
	instance  int
	startedAt time.Time
	capacity  model.Resources
	leaving   bool
	token     uint64
	lease     time.Time
	running   map[model.AttemptID]StartCommand
	blocked   map[model.AttemptID]bool
	ended     []endpoint.EndedAttempt
	seq       uint64
	history   map[model.AttemptID]string // "" while running, else the answer; for all instances
	seen      map[model.AttemptID]bool   // by this instance
}

func newFakeEndpoint(id string, now time.Time, capacity model.Resources) *fakeEndpoint {
	f := &fakeEndpoint{id: id, capacity: capacity, history: map[model.AttemptID]string{}}
	f.restart(now)
	return f
}

func (f *fakeEndpoint) restart(now time.Time) {
	f.instance++
	f.startedAt = now
	f.token, f.seq, f.ended, f.lease = 0, 0, nil, now
	f.running = map[model.AttemptID]StartCommand{}
	f.blocked = map[model.AttemptID]bool{}
	f.seen = map[model.AttemptID]bool{}
}

func (f *fakeEndpoint) clock(now time.Time) int64 { return now.Sub(f.startedAt).Milliseconds() }

// expire stops all work if the lease has expired.
func (f *fakeEndpoint) expire(now time.Time) {
	if now.Before(f.lease) {
		return
	}
	for _, a := range sortedKeys(f.running) {
		f.end(a, "", true)
	}
}

func (f *fakeEndpoint) end(a model.AttemptID, answer string, stopped bool) {
	start := f.running[a]
	delete(f.running, a)
	f.seq++
	f.history[a] = "answer " + answer
	f.ended = append(f.ended, endpoint.EndedAttempt{
		Seq: f.seq, Attempt: a, Template: start.Template.String(), Stopped: stopped, HasAnswer: true, RunMS: 5000,
		Answer: f.answer(a),
	})
}

func (f *fakeEndpoint) answer(a model.AttemptID) model.Answer {
	status := 200
	if f.history[a] == "answer failed" {
		status = 500
	}
	return model.Answer{Status: status, Body: []byte(f.history[a])}
}

func (f *fakeEndpoint) session(now time.Time, r endpoint.SessionRequest) (endpoint.SessionReply, error) {
	f.expire(now)
	if r.Token < f.token {
		return endpoint.SessionReply{}, endpoint.ErrStaleToken
	}
	f.token = r.Token
	f.lease = now.Add(endpoint.LeaseTTL)
	for len(f.ended) > 0 && f.ended[0].Seq <= r.Ack {
		f.ended = f.ended[1:]
	}
	reply := endpoint.SessionReply{
		Instance: fmt.Sprint(f.instance), ClockMS: f.clock(now), Capacity: f.capacity, Leaving: f.leaving,
	}
	reply.Ended = append(reply.Ended, f.ended...)
	for _, a := range sortedKeys(f.running) {
		o := f.running[a]
		reply.Running = append(reply.Running, endpoint.RunningAttempt{
			Attempt: a, Template: o.Template.String(), Resources: o.Resources,
		})
	}
	return reply, nil
}

func (f *fakeEndpoint) start(now time.Time, o StartCommand) error {
	f.expire(now)
	switch {
	case o.Token < f.token:
		return endpoint.ErrStaleToken
	case f.seen[o.Attempt]:
		return endpoint.ErrRepeated
	case f.blocked[o.Attempt]:
		return endpoint.ErrCancelled
	case f.clock(now) > o.StartBeforeMS || !now.Before(f.lease):
		return endpoint.ErrExpired
	case f.leaving:
		return endpoint.ErrLeaving
	case !f.used().Add(o.Resources).Fits(f.capacity):
		return endpoint.ErrNoCapacity
	}
	f.seen[o.Attempt] = true
	f.running[o.Attempt] = o
	f.history[o.Attempt] = ""
	return nil
}

func (f *fakeEndpoint) cancel(a model.AttemptID) bool {
	if _, ok := f.running[a]; ok {
		f.end(a, "cancelled", true)
		return true
	}
	f.blocked[a] = true
	return f.seen[a]
}

func (f *fakeEndpoint) used() model.Resources {
	var sum model.Resources
	for _, o := range f.running {
		sum = sum.Add(o.Resources)
	}
	return sum
}

// cannotCheckDeadline reports whether the deadline of the start is in the clock of
// another instance of the endpoint. The protocol lets the endpoint refuse such a start,
// but the fake endpoint doesn't, so the start may happen after its deadline.
func (f *fakeEndpoint) cannotCheckDeadline(o StartCommand) bool {
	return o.Instance != fmt.Sprint(f.instance)
}

// runsUncheckedStart reports whether the endpoint runs an attempt whose deadline it
// could not check. The owner may have settled such an attempt as unknown.
func (f *fakeEndpoint) runsUncheckedStart() bool {
	for _, o := range f.running {
		if f.cannotCheckDeadline(o) {
			return true
		}
	}
	return false
}
