package entry

import "github.com/google/uuid"

// mintTries bounds the search for an identifier of an own shard. With 27
// members one in 27 fits, so that 400 tries fail once in 3.6 million.
const mintTries = 400

// newRequestID returns a UUIDv7, which carries its minting time.
func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}
