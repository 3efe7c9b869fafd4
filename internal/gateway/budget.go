package gateway

import "sync"

// budget limits the number of submissions in progress and the total size of their
// bodies.
type budget struct {
	mu         sync.Mutex
	entries    int
	bytes      int64
	maxEntries int
	maxBytes   int64
}

// reserve reserves one submission with a body of up to size bytes. It returns
// false if that would exceed a limit.
func (b *budget) reserve(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries >= b.maxEntries || b.bytes+size > b.maxBytes {
		return false
	}
	b.entries++
	b.bytes += size
	return true
}

// shrink returns the unused bytes of a reservation.
func (b *budget) shrink(unused int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= unused
}

// release releases one submission and its size bytes.
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
