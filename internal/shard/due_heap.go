package shard

import (
	"container/heap"
	"time"
)

// timed is an element of a dueHeap. It stores its own position, so that it can be moved and
// removed in logarithmic time.
type timed interface {
	comparable
	dueTime() time.Time
	setIndex(i int)
	index() int // position plus one; 0 when it is in no heap
}

// dueHeap orders elements by the time at which they are due.
type dueHeap[T timed] struct{ items dueItems[T] }

// update moves the element to the position of its due time; a zero time removes it.
func (h *dueHeap[T]) update(item T) {
	switch {
	case item.dueTime().IsZero():
		h.remove(item)
	case item.index() == 0:
		heap.Push(&h.items, item)
	default:
		heap.Fix(&h.items, item.index()-1)
	}
}

// remove removes the element if it is in the heap.
func (h *dueHeap[T]) remove(item T) {
	if item.index() != 0 {
		heap.Remove(&h.items, item.index()-1)
	}
}

// first returns the element that is due first, or false.
func (h *dueHeap[T]) first() (T, bool) {
	var none T
	if len(h.items) == 0 {
		return none, false
	}
	return h.items[0], true
}

// pop removes and returns the first element if it is due at now.
func (h *dueHeap[T]) pop(now time.Time) (T, bool) {
	item, ok := h.first()
	if !ok || item.dueTime().After(now) {
		var none T
		return none, false
	}
	h.remove(item)
	return item, true
}

// dueItems implements heap.Interface.
type dueItems[T timed] []T

func (d dueItems[T]) Len() int           { return len(d) }
func (d dueItems[T]) Less(i, j int) bool { return d[i].dueTime().Before(d[j].dueTime()) }

func (d dueItems[T]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].setIndex(i + 1)
	d[j].setIndex(j + 1)
}

func (d *dueItems[T]) Push(x any) {
	item := x.(T)
	*d = append(*d, item)
	item.setIndex(len(*d))
}

func (d *dueItems[T]) Pop() any {
	var none T
	last := len(*d) - 1
	item := (*d)[last]
	(*d)[last] = none
	*d = (*d)[:last]
	item.setIndex(0)
	return item
}
