package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Default settings of a client.
const (
	// DefaultTimeout limits one call. It is shorter than the default interval of lease
	// renewals, so that a renewal without a reply delays the next one by less than an interval.
	DefaultTimeout = 900 * time.Millisecond
	// DefaultWatchGrace is how long a watch may take beyond its wait time.
	DefaultWatchGrace = time.Second
	// DefaultWritesPerSecond limits nine processes that all write at their
	// maximum rate to three times the store's limit, while a single process can
	// still use the whole write rate of the journals.
	DefaultWritesPerSecond = 100
	// DefaultReadsPerSecond is a fifth of the store's limit.
	DefaultReadsPerSecond = 400
	// burstSeconds sets the burst of a limiter: the calls of this many seconds.
	burstSeconds = 0.5
)

// Option changes a setting of a client.
type Option func(*HTTPClient)

// WithTimeout sets the timeout of all calls except watches.
func WithTimeout(d time.Duration) Option {
	return func(c *HTTPClient) { c.timeout = d }
}

// WithWatchGrace sets how long a watch may take beyond its wait time.
func WithWatchGrace(d time.Duration) Option {
	return func(c *HTTPClient) { c.watchGrace = d }
}

// WithRates sets the rate limits of this client in calls per second.
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
