package shard

import "github.com/agateyard/agateyard/internal/model"

// orderingQueueKey identifies the requests of one template and ordering key, which run one at
// a time.
type orderingQueueKey struct {
	template model.TemplateID
	key      string
}

// orderingQueue is the list of unfinished requests with one ordering key, in the order in
// which they run.
type orderingQueue struct {
	key         orderingQueueKey
	front, back *job
}

// insert adds a request behind those that arrived before it or that may already have started.
func (l *orderingQueue) insert(j *job) {
	after := l.back
	for after != nil && mayBeOvertaken(after) && after.arrived.After(j.arrived) {
		after = after.prev
	}
	l.link(j, after)
}

// mayBeOvertaken reports whether a request that arrived earlier may be placed ahead of this
// one.
func mayBeOvertaken(j *job) bool {
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

// moveToFront moves a request to the front because it is already running.
func (l *orderingQueue) moveToFront(j *job) {
	l.unlink(j)
	l.link(j, nil)
}

// link inserts the request behind after, or at the front if after is nil.
func (l *orderingQueue) link(j, after *job) {
	j.keyQueue, j.prev = l, after
	if after == nil {
		j.next = l.front
		l.front = j
	} else {
		j.next = after.next
		after.next = j
	}
	if j.next == nil {
		l.back = j
	} else {
		j.next.prev = j
	}
}

// unlink removes the request.
func (l *orderingQueue) unlink(j *job) {
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
	j.keyQueue, j.prev, j.next = nil, nil, nil
}
