package gateway

import "sync"

// budget bounds the submissions that are held at one time and their bodies.
type budget struct {
	mu         sync.Mutex
	entries    int
	bytes      int64
	maxEntries int
	maxBytes   int64
}

// take reserves one submission with a body of up to size bytes, or returns false.
func (b *budget) take(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries >= b.maxEntries || b.bytes+size > b.maxBytes {
		return false
	}
	b.entries++
	b.bytes += size
	return true
}

// shrink gives back the part of a reservation that the body did not need.
func (b *budget) shrink(by int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= by
}

// release ends a reservation of size bytes.
func (b *budget) release(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries--
	b.bytes -= size
}

// used returns the reserved entries and bytes.
func (b *budget) used() (int, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries, b.bytes
}
