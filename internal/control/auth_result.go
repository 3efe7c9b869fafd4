package control

import "time"

// AuthResult is the result of the authentication of a request, as named in metrics and logs.
type AuthResult string

// Results of an authentication. Only AuthOpen, AuthPublic and AuthKnownKey admit the request.
const (
	AuthNoRoute      AuthResult = "no-route"     // no route matches
	AuthOpen         AuthResult = "open"         // no route needs a key
	AuthPublic       AuthResult = "public"       // this route needs no key
	AuthKnownKey     AuthResult = "known-key"    // the key belongs to a tenant
	AuthNoKey        AuthResult = "no-key"       // the request has no key
	AuthUnknownKey   AuthResult = "unknown-key"  // certain: the newest configuration doesn't have the key
	AuthUndetermined AuthResult = "undetermined" // the key may be newer than the configuration in force
	AuthUnconfirmed  AuthResult = "unconfirmed"  // strict: the configuration has not been confirmed for too long
	AuthRevoked      AuthResult = "revoked"      // the owner's configuration doesn't admit the caller
)

// admits reports whether a request with this result may be served.
func (r AuthResult) admits() bool { return r == AuthOpen || r == AuthPublic || r == AuthKnownKey }

const (
	// knownKeyAge is the age of the configuration beyond which a known key is checked again before it is used. A withdrawn
	// key has to be out of use within 3 s everywhere, also on a process that was suspended; half a second is left for the
	// request. The age stays below this while the store or a peer answers, see keepConfirmed.
	knownKeyAge = 2500 * time.Millisecond
	// unknownKeyAge is the largest age of the configuration, at the arrival of the request, at which a key that it doesn't
	// have is certainly invalid. A read that a peer has made for the request may count as older by the time of its call.
	unknownKeyAge = pingTimeout
	// recheckPause is how long known keys aren't checked again after the configuration could not be confirmed. It exceeds
	// the time of an attempt of keepConfirmed, so that callers don't wait while neither the store nor a peer answers.
	recheckPause = 2 * time.Second
)

// authInput is what the decision on a request with a key depends on.
type authInput struct {
	found       AuthResult    // by the configuration in force
	behind      bool          // the configuration is older than the version that the owner has reported
	age         time.Duration // of the configuration at the request's arrival; maxAge if it was never confirmed
	source      string        // of the configuration
	refreshed   bool          // the configuration was read again after the arrival, or the attempt failed
	rechecked   bool          // a check of known keys has failed within recheckPause
	strict      bool
	revokeLimit time.Duration
}

// maxAge is the age of a configuration that was never confirmed.
const maxAge = time.Duration(1<<63 - 1)

// decide returns the result of the authentication, or that the configuration has to be read again first.
func (in authInput) decide() (result AuthResult, refresh bool) {
	if in.behind && in.found.admits() {
		return AuthRevoked, !in.refreshed
	}
	if in.found != AuthKnownKey && in.found != AuthUnknownKey {
		return in.found, false
	}
	known := in.found == AuthKnownKey
	if !in.refreshed && (!known || in.age > knownKeyAge && !in.rechecked) {
		return "", true
	}
	switch {
	case in.strict && in.age > in.revokeLimit:
		return AuthUnconfirmed, false
	case known:
		return AuthKnownKey, false
	case in.age > unknownKeyAge:
		return AuthUndetermined, false
	default:
		return AuthUnknownKey, false
	}
}
