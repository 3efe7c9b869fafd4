package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of the client.
const (
	// DefaultTimeout bounds one call. It is below the interval of the lease
	// renewals, so that a slow renewal does not delay the next one.
	DefaultTimeout = 900 * time.Millisecond
	// DefaultWatchGrace is how long a watch may exceed its own waiting time.
	DefaultWatchGrace = time.Second
	// DefaultWritesPerSecond keeps nine processes that misbehave together at
	// three times the store's limit at most, while one alone can use the whole
	// write rate of the journals.
	DefaultWritesPerSecond = 100
	// DefaultReadsPerSecond is a fifth of the store's limit.
	DefaultReadsPerSecond = 400
	// burstSeconds of the rate may be used at once.
	burstSeconds = 0.5
)

// Option changes a setting of the client.
type Option func(*HTTPClient)

// WithTimeout bounds every call but a watch.
func WithTimeout(d time.Duration) Option {
	return func(c *HTTPClient) { c.timeout = d }
}

// WithWatchGrace sets how long a watch may exceed its own waiting time.
func WithWatchGrace(d time.Duration) Option {
	return func(c *HTTPClient) { c.watchGrace = d }
}

// WithRates sets the limits of this client in calls a second.
func WithRates(writes, reads float64) Option {
	return func(c *HTTPClient) {
		c.writes = newLimiter(writes)
		c.reads = newLimiter(reads)
	}
}

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *HTTPClient) { c.http.Transport = t }
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}
