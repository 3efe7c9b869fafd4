package shard

import (
	"math"
	"time"
)

// decayingSum is a sum whose terms lose half their weight every half-life.
type decayingSum struct {
	value float64
	at    time.Time
}

// add adds n at the time now.
func (d *decayingSum) add(now time.Time, halfLife time.Duration, n float64) {
	d.value = d.read(now, halfLife) + n
	d.at = now
}

// read returns the decayed sum at the time now.
func (d *decayingSum) read(now time.Time, halfLife time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	elapsed := max(0, now.Sub(d.at))
	return d.value * math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
}
