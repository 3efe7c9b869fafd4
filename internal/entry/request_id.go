package entry

import "github.com/google/uuid"

// requestIDTries limits the search for an identifier whose shard this process
// owns. With 27 members one identifier in 27 fits, so that 400 tries fail once
// in 3.6 million searches.
const requestIDTries = 400

// newRequestID returns a UUIDv7, which contains the time of its generation.
func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}
