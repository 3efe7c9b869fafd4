package endpoint

// RefusalCode is the machine-readable code of a definite refusal.
type RefusalCode string

// The codes of refusals.
const (
	RefusalStaleToken RefusalCode = "stale-token"
	RefusalRepeated   RefusalCode = "repeated"
	RefusalExpired    RefusalCode = "expired"
	RefusalNoCapacity RefusalCode = "no-room"
	RefusalLeaving    RefusalCode = "leaving"
	RefusalBadRequest RefusalCode = "bad-request"
	RefusalCancelled  RefusalCode = "cancelled"
	RefusalNoLease    RefusalCode = "no-lease"
)

// Err returns the error of the code. An unknown code says nothing definite, so
// it is ErrLost.
func (c RefusalCode) Err() error {
	switch c {
	case RefusalStaleToken:
		return ErrStaleToken
	case RefusalRepeated:
		return ErrRepeated
	case RefusalExpired:
		return ErrExpired
	case RefusalNoCapacity:
		return ErrNoCapacity
	case RefusalLeaving:
		return ErrLeaving
	case RefusalBadRequest:
		return ErrBadRequest
	case RefusalCancelled:
		return ErrCancelled
	case RefusalNoLease:
		return ErrNoLease
	}
	return ErrOutcomeUnknown
}
