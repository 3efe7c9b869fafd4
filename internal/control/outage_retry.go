package control

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minOutageRetry and maxOutageRetry limit the mean Retry-After of submissions that are refused while the store is away.
	// Below a second the wait can't be expressed in the header; callers that are told more than 8 s would still be away
	// long after the end of a usual outage of a few seconds.
	minOutageRetry = time.Second
	maxOutageRetry = 8 * time.Second
)

// outageRetryAfter returns when the caller of a refused submission should come back. An outage of unknown length that has
// lasted for some time is expected to last about as long again. The times of different jobs are spread evenly between half
// and one and a half times that, so that callers don't all return in the same second.
func outageRetryAfter(failingFor time.Duration, jobID string) time.Duration {
	mean := min(max(failingFor, minOutageRetry), maxOutageRetry)
	position := float64(xxhash.Sum64String(jobID)>>11) / (1 << 53) // in [0, 1)
	return time.Duration((0.5 + position) * float64(mean))
}
