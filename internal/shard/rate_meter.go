package shard

import (
	"math"
	"time"
)

// rateMeter measures the service rate of a queue: starts per second while work
// waits. Time without a backlog is left out, because the rate is then that of
// the arrivals and says nothing of the capacity. So is a backlog that lasts less
// than a sample: a request that starts a millisecond after its arrival would
// count as a rate of a thousand a second, and the next flood would be taken for
// work that starts in time.
type rateMeter struct {
	window time.Duration // half-life of the average
	rate   float64       // starts per second
	known  bool

	busy   bool
	first  bool          // no sample has passed since the backlog began
	mark   time.Time     // start of the part of the interval that is not in spent yet
	spent  time.Duration // backlogged time since the last sample
	starts float64       // starts since the last sample
	seen   time.Time     // last time with a lasting backlog
}

// sampleFraction is the length of a sample as a part of the window. Shorter
// samples are dominated by the batches in which grants come.
const sampleFraction = 10

// setBusy tells whether work waits from now on.
func (m *rateMeter) setBusy(now time.Time, busy bool) {
	m.advance(now)
	if busy != m.busy {
		m.first, m.spent, m.starts = true, 0, 0
	}
	m.busy = busy
	m.mark = now
}

// add counts starts. It is called before the queue shrinks by them.
func (m *rateMeter) add(now time.Time, n float64) {
	if !m.known && m.starts == 0 {
		// The time before the first start is that of finding capacity, not of serving.
		m.spent, m.mark = 0, now
	}
	m.starts += n
	m.advance(now)
}

// stallWindows is how many windows a backlog may last without any start until
// the rate counts as zero. It covers the change of a pool owner.
const stallWindows = 2

// advance accounts for the time up to now and takes a sample when due.
func (m *rateMeter) advance(now time.Time) {
	if !m.busy {
		return
	}
	m.spent += max(0, now.Sub(m.mark))
	m.mark = now
	if m.spent < m.window/sampleFraction {
		return
	}
	if !m.known && m.starts == 0 && m.spent < stallWindows*m.window {
		return
	}
	m.seen = now
	m.sample()
}

// sample folds the starts since the last sample into the average.
// The first one of a backlog is left out, since it has the starts on capacity
// that was free when the backlog began.
func (m *rateMeter) sample() {
	if m.first {
		m.first, m.spent, m.starts = false, 0, 0
		return
	}
	rate := m.starts / m.spent.Seconds()
	if m.known {
		weight := 1 - math.Exp2(-m.spent.Seconds()/m.window.Seconds())
		rate = m.rate + weight*(rate-m.rate)
	}
	m.rate, m.known = rate, true
	m.spent, m.starts = 0, 0
}

// estimate returns the rate, or false when there was no recent backlog to measure it.
func (m *rateMeter) estimate(now time.Time) (float64, bool) {
	m.advance(now)
	if !m.known {
		return 0, false
	}
	if !m.busy && now.Sub(m.seen) > m.window {
		return 0, false
	}
	return m.rate, true
}
