package control

import (
	"bytes"
	"sync"
	"time"
)

// configSource says how a process came by a configuration.
type configSource struct {
	from string // "store" or "peer"
	by   string // "watch" or "read" of the store, or the peer's address
}

var (
	fromWatch = configSource{from: "store", by: "watch"}
	fromRead  = configSource{from: "store", by: "read"}
)

func fromPeer(address string) configSource { return configSource{from: "peer", by: address} }

// configInForce is the configuration that a process decides by, and what is known of its age. It is safe for concurrent use.
type configInForce struct {
	mu          sync.Mutex
	current     *CellConfig // nil: none is known yet
	source      configSource
	since       time.Duration // when it came into force in this process
	confirmedAt time.Duration // it was the newest then: no newer version had been written
	confirmed   bool          // false: it was never confirmed
	changed     chan struct{} // closed at the next confirmation
	bad         []byte        // the last value that could not be decoded
}

func newConfigInForce() configInForce { return configInForce{changed: make(chan struct{})} }

// configChange describes how a configuration replaced another.
type configChange struct {
	previous int64 // version; 0: there was none
	// unconfirmed is the time since the previous version was confirmed as the newest, or since it came into force if it never
	// was. The new version was written at most that long ago.
	unconfirmed time.Duration
}

// replace puts a configuration in force if it is newer than the current one.
func (f *configInForce) replace(c *CellConfig, source configSource, now time.Duration) (change configChange, newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		if c.Version <= f.current.Version {
			return configChange{}, false
		}
		change.previous = f.current.Version
		change.unconfirmed = max(0, now-max(f.since, f.confirmedAt))
	}
	f.current, f.source, f.since = c, source, now
	return change, true
}

// recordBad records a value that can't be decoded and reports whether it differs from the last one.
func (f *configInForce) recordBad(value []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bad != nil && bytes.Equal(f.bad, value) {
		return false
	}
	f.bad = append([]byte{}, value...)
	return true
}

// load returns the configuration in force; nil if none is known yet.
func (f *configInForce) load() *CellConfig {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// origin returns how the process came by the configuration, and when it came into force.
func (f *configInForce) origin() (source configSource, since time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source, f.since
}

// confirm records that the configuration was the newest at a time. Earlier confirmations that arrive late change nothing.
func (f *configInForce) confirm(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.confirmed || at > f.confirmedAt {
		f.confirmedAt, f.confirmed = at, true
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// confirmations returns a channel that is closed at the next confirmation.
func (f *configInForce) confirmations() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// age returns the time since the last confirmation; known is false if there was none.
func (f *configInForce) age(now time.Duration) (age time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, now-f.confirmedAt), f.confirmed
}

// confirmedWithin reports whether the last confirmation is at most d older than now.
func (f *configInForce) confirmedWithin(d, now time.Duration) bool {
	age, known := f.age(now)
	return known && age <= d
}
