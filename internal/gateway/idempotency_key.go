package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/model"
)

const (
	maxIDBytes = 128
	// maxClockSkew is how far in the future the timestamp of an identifier may be.
	maxClockSkew = 5 * time.Second
)

// readID returns the identifier given by the caller, or "" if there is none.
func readID(r *http.Request) (string, *Problem) {
	values := r.Header.Values(HeaderIdempotencyKey)
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], checkID(values[0], HeaderIdempotencyKey)
	default:
		return "", badField(HeaderIdempotencyKey, "must be given once")
	}
}

// checkID checks the length and the characters of an identifier.
func checkID(id, field string) *Problem {
	if id == "" || len(id) > maxIDBytes || !isVisibleASCII(id) {
		return badField(field, fmt.Sprintf("must be 1 to %d visible ASCII characters without spaces", maxIDBytes))
	}
	return nil
}

// checkUUIDv7 checks the form and the timestamp of an identifier of non-idempotent
// work. The form must be canonical, because shards would treat two spellings of one
// UUID as two requests.
func checkUUIDv7(id string, now time.Time, retention time.Duration) *Problem {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 || u.String() != id {
		return badField(HeaderIdempotencyKey, "must be a UUIDv7 in lower-case canonical form, because the template is not idempotent; POST /v1/identifiers returns them")
	}
	generatedAt, ok := model.IDTimestamp(id)
	switch {
	case !ok:
		return badField(HeaderIdempotencyKey, "must be a UUIDv7")
	case generatedAt.After(now.Add(maxClockSkew)):
		p := badField(HeaderIdempotencyKey, fmt.Sprintf("was generated %v in the future, at most %v is allowed", generatedAt.Sub(now).Round(time.Second), maxClockSkew))
		return p.withReason(model.ReasonIDInFuture)
	case generatedAt.Before(now.Add(-retention)):
		// The record of an earlier submission has expired, so it is unknown whether
		// the request ran.
		p := badField(HeaderIdempotencyKey, fmt.Sprintf("was generated %v ago, the record of a request is kept for %v; this sending did not run, an earlier one may have", now.Sub(generatedAt).Round(time.Second), retention))
		p.Outcome = model.OutcomeUnknown
		return p.withReason(model.ReasonIDTooOld)
	}
	return nil
}

// withReason sets the code of the problem and returns the problem.
func (p *Problem) withReason(reason model.Reason) *Problem {
	p.Reason = reason
	p.Type = problemType + string(reason)
	return p
}

func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
