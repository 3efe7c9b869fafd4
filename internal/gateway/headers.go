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
	HeaderReason         = "Agateyard-Reason"         // code that explains an error response, such as why the request did not run
	HeaderRetryAfterMS   = "Agateyard-Retry-After-Ms" // Retry-After in milliseconds
	HeaderMaxWait        = "Agateyard-Max-Wait"       // duration; can only shorten the template's max_wait
	HeaderJoined         = "Agateyard-Joined"         // true on the response to a resubmitted request
	HeaderAuthor         = "Agateyard-Author"         // author of a configuration change
	HeaderNote           = "Agateyard-Note"           // note on a configuration change
)

// Media types.
const (
	mediaJSON    = "application/json"
	mediaProblem = "application/problem+json"
	mediaTOML    = "application/toml"
)

// setRetryAfter sets Retry-After and HeaderRetryAfterMS. Both are rounded up, so that
// callers don't retry too early.
func setRetryAfter(h http.Header, d time.Duration) {
	if d <= 0 {
		return
	}
	seconds := (d + time.Second - 1) / time.Second
	ms := (d + time.Millisecond - 1) / time.Millisecond
	h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	h.Set(HeaderRetryAfterMS, strconv.FormatInt(int64(ms), 10))
}

// headerBytes returns the approximate size of the request line and the headers as sent.
// Of the Host header it counts only the value.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 4 + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}
