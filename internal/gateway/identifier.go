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
	// maxClockSkew is how far in the future an identifier may have been minted.
	maxClockSkew = 5 * time.Second
)

// readID returns the caller's identifier, "" without one.
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

// checkID applies the rule for every identifier.
func checkID(id, field string) *Problem {
	if id == "" || len(id) > maxIDBytes || !visible(id) {
		return badField(field, fmt.Sprintf("must be 1 to %d visible ASCII characters without spaces", maxIDBytes))
	}
	return nil
}

// checkMinted applies the rules for identifiers of non-idempotent work. The
// canonical form is required because two spellings of one UUID would be two
// requests to the shards.
func checkMinted(id string, now time.Time, retention time.Duration) *Problem {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 || u.String() != id {
		return badField(HeaderIdempotencyKey, "must be a UUIDv7 in lower-case canonical form, because the template is not idempotent; POST /v1/identifiers returns them")
	}
	minted, ok := model.IDTimestamp(id)
	switch {
	case !ok:
		return badField(HeaderIdempotencyKey, "must be a UUIDv7")
	case minted.After(now.Add(maxClockSkew)):
		p := badField(HeaderIdempotencyKey, fmt.Sprintf("was generated %v in the future, at most %v is allowed", minted.Sub(now).Round(time.Second), maxClockSkew))
		return p.because(model.ReasonIDInFuture)
	case minted.Before(now.Add(-retention)):
		// The record of an earlier sending has lapsed, so not-run would be a guess.
		p := badField(HeaderIdempotencyKey, fmt.Sprintf("was generated %v ago, the record of a request is kept for %v; this sending did not run, an earlier one may have", now.Sub(minted).Round(time.Second), retention))
		p.Outcome = model.OutcomeUnknown
		return p.because(model.ReasonIDTooOld)
	}
	return nil
}

// because sets the code of the problem.
func (p *Problem) because(reason model.Reason) *Problem {
	p.Reason = reason
	p.Type = problemType + string(reason)
	return p
}

func visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
