package shard

import "github.com/agateyard/agateyard/internal/model"

// lineKey identifies the requests that run one at a time.
type lineKey struct {
	template model.TemplateID
	key      string
}

// orderLine is the list of unfinished requests with one ordering key, in the
// order in which they run.
type orderLine struct {
	key         lineKey
	front, back *job
}

// insert adds a request behind those that arrived before it or have started.
func (l *orderLine) insert(j *job) {
	at := l.back
	for at != nil && movable(at) && at.arrived.After(j.arrived) {
		at = at.prev
	}
	l.link(j, at)
}

// movable reports whether a request that arrived earlier may go ahead of this one.
func movable(j *job) bool {
	if j.started || j.liveCount() > 0 {
		return false
	}
	for i := range j.units {
		if j.units[i].state == unitIntent {
			return false
		}
	}
	return true
}

// toFront moves a request to the front, because it runs already.
func (l *orderLine) toFront(j *job) {
	l.unlink(j)
	l.link(j, nil)
}

// link inserts the request after at, or at the front.
func (l *orderLine) link(j, at *job) {
	j.line, j.prev = l, at
	if at == nil {
		j.next = l.front
		l.front = j
	} else {
		j.next = at.next
		at.next = j
	}
	if j.next == nil {
		l.back = j
	} else {
		j.next.prev = j
	}
}

// unlink takes the request out.
func (l *orderLine) unlink(j *job) {
	if j.prev == nil {
		l.front = j.next
	} else {
		j.prev.next = j.next
	}
	if j.next == nil {
		l.back = j.prev
	} else {
		j.next.prev = j.prev
	}
	j.line, j.prev, j.next = nil, nil, nil
}
