package fairshare

import "time"

// Bucket is a token bucket of arrivals. Its depth is one second of its rate, at least one token. A new bucket is full.
type Bucket struct {
	rate     float64 // tokens a second
	tokens   float64
	overflow float64 // tokens beyond the depth, at most one unless they are taken
	at       time.Duration
	started  bool
}

// SetRate changes the number of tokens a second.
func (b *Bucket) SetRate(rate float64, now time.Duration) {
	b.advance(now)
	b.rate = rate
	if !b.started {
		b.started, b.tokens = true, b.depth()
	}
	b.tokens = min(b.tokens, b.depth())
}

// Available reports whether Take would succeed.
func (b *Bucket) Available(now time.Duration) bool {
	b.advance(now)
	return b.tokens >= 1
}

// Take takes one token; ok is false if there is none.
func (b *Bucket) Take(now time.Duration) (ok bool) {
	if !b.Available(now) {
		return false
	}
	b.tokens--
	return true
}

// TakeOverflow takes up to limit tokens that have overflowed and returns their number.
func (b *Bucket) TakeOverflow(now time.Duration, limit int) int {
	b.advance(now)
	n := min(int(b.overflow), limit)
	b.overflow = min(b.overflow-float64(n), 1)
	return n
}

func (b *Bucket) depth() float64 { return max(b.rate, 1) }

func (b *Bucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens += b.rate * (now - b.at).Seconds()
	b.at = now
	if over := b.tokens - b.depth(); over > 0 {
		b.tokens = b.depth()
		b.overflow = min(b.overflow+over, b.depth())
	}
}
