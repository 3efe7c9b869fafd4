package shard

import (
	"math"
	"time"
)

// rateMeter measures the service rate of a queue: starts per second while there is a backlog.
// Time without a backlog is excluded, because the rate is then the arrival rate and says
// nothing about the capacity. A backlog shorter than one sample is excluded too: a request
// that starts a millisecond after its arrival would count as a rate of a thousand per second,
// and a following flood would be admitted as work that starts in time.
type rateMeter struct {
	window time.Duration // half-life of the average
	rate   float64       // starts per second
	known  bool

	backlogged     bool
	skipSample     bool          // no sample has been completed since the backlog began
	accountedUntil time.Time     // time up to which backlogTime is accounted
	backlogTime    time.Duration // time with a backlog since the last sample
	starts         float64       // starts since the last sample
	lastBacklog    time.Time     // last time a backlog lasted for a whole sample
}

// sampleFraction is the divisor of the window that gives the sample length. Shorter samples
// are dominated by the batches in which grants arrive.
const sampleFraction = 10

// setBacklogged sets whether there is a backlog from now on.
func (m *rateMeter) setBacklogged(now time.Time, backlogged bool) {
	m.advance(now)
	if backlogged != m.backlogged {
		m.skipSample, m.backlogTime, m.starts = true, 0, 0
	}
	m.backlogged = backlogged
	m.accountedUntil = now
}

// add counts starts. It must be called before the started units leave the queue.
func (m *rateMeter) add(now time.Time, n float64) {
	if !m.known && m.starts == 0 {
		// The time before the first start was spent on finding capacity, not on serving.
		m.backlogTime, m.accountedUntil = 0, now
	}
	m.starts += n
	m.advance(now)
}

// stallWindows is the sample length, in windows, while the rate is not known and nothing was
// started. It covers a change of the pool owner. As the first sample of a backlog is discarded,
// the rate counts as zero after two such samples.
const stallWindows = 2

// advance accounts for the time up to now and takes a sample when one is due.
func (m *rateMeter) advance(now time.Time) {
	if !m.backlogged {
		return
	}
	m.backlogTime += max(0, now.Sub(m.accountedUntil))
	m.accountedUntil = now
	if m.backlogTime < m.window/sampleFraction {
		return
	}
	if !m.known && m.starts == 0 && m.backlogTime < stallWindows*m.window {
		return
	}
	m.lastBacklog = now
	m.sample()
}

// sample folds the starts since the last sample into the average. The first sample of a
// backlog is discarded, because it includes starts on capacity that was free when the backlog
// began.
func (m *rateMeter) sample() {
	if m.skipSample {
		m.skipSample, m.backlogTime, m.starts = false, 0, 0
		return
	}
	rate := m.starts / m.backlogTime.Seconds()
	if m.known {
		weight := 1 - math.Exp2(-m.backlogTime.Seconds()/m.window.Seconds())
		rate = m.rate + weight*(rate-m.rate)
	}
	m.rate, m.known = rate, true
	m.backlogTime, m.starts = 0, 0
}

// estimate returns the rate, or false if there was no recent backlog to measure it.
func (m *rateMeter) estimate(now time.Time) (float64, bool) {
	m.advance(now)
	if !m.known {
		return 0, false
	}
	if !m.backlogged && now.Sub(m.lastBacklog) > m.window {
		return 0, false
	}
	return m.rate, true
}
