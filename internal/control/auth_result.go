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
	AuthUndetermined AuthResult = "undetermined" // the configuration in force may be too old to decide by
	AuthUnconfirmed  AuthResult = "unconfirmed"  // strict: the configuration has not been confirmed for too long
	AuthRevoked      AuthResult = "revoked"      // the owner's configuration doesn't admit the caller
)

// admits reports whether a request with this result may be served.
func (r AuthResult) admits() bool { return r == AuthOpen || r == AuthPublic || r == AuthKnownKey }

const (
	// unknownKeyAge is the largest age of the configuration, at the arrival of the request, at which a key that it doesn't
	// have is certainly invalid. A read that a peer has made for the request may count as older by the time of its call.
	unknownKeyAge = pingTimeout
	// noRouteAge is the age of the configuration beyond which it is read again before a request that no route matches is
	// refused: the route may have been added since.
	noRouteAge = time.Second
	// recheckPause is how long requests don't wait for another read after the configuration could not be confirmed. It
	// exceeds the time of an attempt, so that callers don't wait while neither the store nor a peer answers.
	recheckPause = 2 * time.Second
)

// authInput is what the decision on a request depends on.
type authInput struct {
	found       AuthResult    // by the configuration in force
	behind      bool          // the configuration is older than the version that the owner has reported
	age         time.Duration // of the configuration at the request's arrival; maxAge if it was never confirmed
	limits      configLimits
	source      string // of the configuration
	refreshed   bool   // the configuration was read again after the arrival, or the attempt failed
	rechecked   bool   // an attempt to confirm the configuration has failed within recheckPause
	ownerKnown  bool   // the owner has replied within readyTimeout; it checks again what this process admits
	strict      bool
	revokeLimit time.Duration
}

// maxAge is the age of a configuration that was never confirmed.
const maxAge = time.Duration(1<<63 - 1)

// decide returns the result of the authentication, or that the configuration has to be read again first.
func (in authInput) decide() (result AuthResult, refresh bool) {
	if in.behind && in.found.admits() {
		if in.found == AuthOpen {
			return AuthUndetermined, !in.refreshed // the route has gone or leads to another queue
		}
		return AuthRevoked, !in.refreshed
	}
	if !in.refreshed && in.needsRefresh() {
		return "", true
	}
	checksKey := in.found == AuthKnownKey || in.found == AuthUnknownKey
	switch {
	case checksKey && in.strict && in.age > in.revokeLimit:
		return AuthUnconfirmed, false
	case in.found == AuthUnknownKey && in.age > unknownKeyAge:
		return AuthUndetermined, false
	case in.age <= in.limits.apply:
		return in.found, false
	case in.found.admits() && in.ownerKnown:
		return in.found, false // nobody in reach knows a newer version, as while the store is away
	default:
		return AuthUndetermined, false
	}
}

func (in authInput) needsRefresh() bool {
	switch in.found {
	case AuthUnknownKey:
		return true // the key may be newer
	case AuthNoRoute:
		return in.age > noRouteAge && !in.rechecked
	default:
		return in.age > in.limits.serve && !in.rechecked
	}
}
