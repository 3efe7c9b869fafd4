package pacing

import (
	"slices"
	"time"
)

const (
	// minPassInterval is the minimum time between the starts of two placement passes.
	minPassInterval = 3 * time.Millisecond
	// passIntervalFactor is the minimum ratio of the interval between placement passes to the duration of a pass, so that
	// passes take at most a quarter of the event loop's time.
	passIntervalFactor = 4
)

// comparedPasses is the number of earlier passes with which a pass is compared. Passes without a budget for starts are
// short, so one pass isn't enough.
const comparedPasses = 4

// PassInterval is the time between the starts of two placement passes. It follows the duration of the last pass, but a pass
// counts as no longer than the longest of those before it: one during which the process got no processor for a while
// doesn't delay the next by a multiple of that. The zero value is ready for use.
type PassInterval struct {
	earlier  [comparedPasses]time.Duration // durations of the last passes
	passes   int
	interval time.Duration
}

// Passed records the duration of a pass.
func (p *PassInterval) Passed(took time.Duration) {
	p.interval = passIntervalFactor * min(took, slices.Max(p.earlier[:]))
	p.earlier[p.passes%comparedPasses] = took
	p.passes++
}

// Interval returns the minimum time from the start of the last pass to that of the next one.
func (p *PassInterval) Interval() time.Duration { return max(p.interval, minPassInterval) }
