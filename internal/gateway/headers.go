package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// Headers of the API beyond the standard ones.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Agateyard-Outcome"        // ran, not-run or unknown
	HeaderReason         = "Agateyard-Reason"         // code of why it did not run or is unknown
	HeaderRetryAfterMS   = "Agateyard-Retry-After-Ms" // Retry-After in milliseconds
	HeaderMaxWait        = "Agateyard-Max-Wait"       // duration; shortens the template's max_wait
	HeaderJoined         = "Agateyard-Joined"         // true on the answer of a repeated request
	HeaderAuthor         = "Agateyard-Author"         // of a configuration change
	HeaderNote           = "Agateyard-Note"           // on a configuration change
)

// Media types.
const (
	mediaJSON    = "application/json"
	mediaProblem = "application/problem+json"
	mediaTOML    = "application/toml"
)

// setRetryAfter sets both headers, rounded up so that no caller comes early.
func setRetryAfter(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	seconds := (d + time.Second - 1) / time.Second
	ms := (d + time.Millisecond - 1) / time.Millisecond
	h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	h.Set(HeaderRetryAfterMS, strconv.FormatInt(int64(ms), 10))
}

// headerBytes is the size of the header fields as they are sent.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 4 + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}
