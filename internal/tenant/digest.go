package tenant

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of an API key. The zero value stands for no key.
type Digest [sha256.Size]byte

// fingerprintBytes is how much of a digest may appear in logs: enough to tell keys apart, and useless to find a key.
const fingerprintBytes = 4

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// emptyKey is the digest of the empty string, which is never valid as a key.
var emptyKey = DigestOf("")

// IsZero reports whether there is no key.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns a short fingerprint for logs and errors; "" if there is no key.
func (d Digest) String() string {
	if d.IsZero() {
		return ""
	}
	return hex.EncodeToString(d[:fingerprintBytes])
}
