package candidacy

import "time"

const (
	// rateWindow is the time over which starts are counted.
	rateWindow = time.Second
	// rateRetention is the fraction of the highest rate that remains after a window with fewer starts: half of it after
	// 34 s. Load that swings within seconds doesn't change the candidates' order with each swing.
	rateRetention = 0.98
)

// StartRate measures the highest recent rate of starts. The zero value is ready for use.
type StartRate struct {
	count   int
	began   time.Duration
	highest float64
}

// Started counts a start.
func (r *StartRate) Started() { r.count++ }

// PerSecond returns the highest recent rate.
func (r *StartRate) PerSecond(now time.Duration) float64 {
	if r.began == 0 {
		r.began = now
	}
	if elapsed := now - r.began; elapsed >= rateWindow {
		r.highest = max(r.highest*rateRetention, float64(r.count)/elapsed.Seconds())
		r.count, r.began = 0, now
	}
	return r.highest
}
