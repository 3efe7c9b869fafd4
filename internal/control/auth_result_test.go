package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAuthDecision guards against withdrawn keys that are served by an old configuration, new keys that are refused by
// one, and callers who are turned away while nobody can confirm the configuration.
func TestAuthDecision(t *testing.T) {
	const fresh, old, isolated = time.Second, 3 * time.Second, 7 * time.Second
	for name, c := range map[string]struct {
		in      authInput
		want    AuthResult
		refresh bool
	}{
		"no keys required":                {in: authInput{found: AuthOpen, age: maxAge}, want: AuthOpen},
		"public route":                    {in: authInput{found: AuthPublic, age: maxAge, strict: true}, want: AuthPublic},
		"without a key":                   {in: authInput{found: AuthNoKey, age: maxAge}, want: AuthNoKey},
		"no route":                        {in: authInput{found: AuthNoRoute, age: maxAge}, want: AuthNoRoute},
		"known":                           {in: authInput{found: AuthKnownKey, age: fresh}, want: AuthKnownKey},
		"known, old":                      {in: authInput{found: AuthKnownKey, age: old}, refresh: true},
		"known, old, just checked":        {in: authInput{found: AuthKnownKey, age: old, rechecked: true}, want: AuthKnownKey},
		"known, nobody answered":          {in: authInput{found: AuthKnownKey, age: isolated, refreshed: true}, want: AuthKnownKey},
		"known, never confirmed":          {in: authInput{found: AuthKnownKey, age: maxAge, refreshed: true}, want: AuthKnownKey},
		"known, nobody answered, strict":  {in: authInput{found: AuthKnownKey, age: isolated, refreshed: true, strict: true}, want: AuthUnconfirmed},
		"known, just checked, strict":     {in: authInput{found: AuthKnownKey, age: isolated, rechecked: true, strict: true}, want: AuthUnconfirmed},
		"known, old, strict":              {in: authInput{found: AuthKnownKey, age: old, refreshed: true, strict: true}, want: AuthKnownKey},
		"unknown":                         {in: authInput{found: AuthUnknownKey, age: fresh}, refresh: true},
		"unknown, just checked":           {in: authInput{found: AuthUnknownKey, age: fresh, rechecked: true}, refresh: true},
		"unknown, read again":             {in: authInput{found: AuthUnknownKey, refreshed: true}, want: AuthUnknownKey},
		"unknown, old":                    {in: authInput{found: AuthUnknownKey, age: fresh, refreshed: true}, want: AuthUndetermined},
		"unknown, never confirmed":        {in: authInput{found: AuthUnknownKey, age: maxAge, refreshed: true}, want: AuthUndetermined},
		"unknown, strict":                 {in: authInput{found: AuthUnknownKey, age: isolated, refreshed: true, strict: true}, want: AuthUnconfirmed},
		"refused by the owner":            {in: authInput{found: AuthKnownKey, age: fresh, behind: true}, want: AuthRevoked, refresh: true},
		"refused by the owner, no newer":  {in: authInput{found: AuthKnownKey, age: fresh, behind: true, refreshed: true}, want: AuthRevoked},
		"refused, public, no newer":       {in: authInput{found: AuthPublic, age: fresh, behind: true, refreshed: true}, want: AuthRevoked},
		"refused, then known in a newer":  {in: authInput{found: AuthKnownKey, age: fresh, refreshed: true}, want: AuthKnownKey},
		"refused, unknown in an old one":  {in: authInput{found: AuthUnknownKey, age: old, behind: true, refreshed: true}, want: AuthUndetermined},
		"refused, the route has gone now": {in: authInput{found: AuthNoRoute, age: fresh, behind: true}, want: AuthNoRoute},
	} {
		c.in.revokeLimit = 5 * time.Second
		got, refresh := c.in.decide()
		if refresh != c.refresh || !refresh && got != c.want {
			t.Errorf("%s: result %q, refresh %t, want %q, %t", name, got, refresh, c.want, c.refresh)
		}
	}
}

// TestAuthDecisionProperties guards against a decision that never ends, and against results without the confirmation that
// they need.
func TestAuthDecisionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := authInput{
			found:       rapid.SampledFrom([]AuthResult{AuthNoRoute, AuthOpen, AuthPublic, AuthKnownKey, AuthNoKey, AuthUnknownKey}).Draw(t, "found"),
			behind:      rapid.Bool().Draw(t, "behind"),
			age:         time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "age")),
			refreshed:   rapid.Bool().Draw(t, "refreshed"),
			rechecked:   rapid.Bool().Draw(t, "rechecked"),
			strict:      rapid.Bool().Draw(t, "strict"),
			revokeLimit: 5 * time.Second,
		}
		got, refresh := in.decide()
		switch {
		case refresh && in.refreshed:
			t.Fatal("read again after a read")
		case refresh:
			return
		case in.behind && got.admits():
			t.Fatalf("%s although the owner has refused the caller", got)
		case got == AuthUnknownKey && (!in.refreshed || in.age > unknownKeyAge):
			t.Fatal("an unknown key is refused for certain without a read")
		case got == AuthKnownKey && in.age > knownKeyAge && !in.refreshed && !in.rechecked:
			t.Fatal("a known key is served by an old configuration without a check")
		case got == AuthKnownKey && in.strict && in.age > in.revokeLimit:
			t.Fatal("a known key is served by an unconfirmed configuration")
		case got.admits() && got != in.found:
			t.Fatalf("%s was found as %s", got, in.found)
		}
	})
}
