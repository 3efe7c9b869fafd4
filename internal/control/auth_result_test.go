package control

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAuthDecision guards against withdrawn keys and dropped routes that are served by an old configuration, new ones that
// are refused by one, and callers who are turned away while the owner answers and nobody can confirm the configuration.
func TestAuthDecision(t *testing.T) {
	const fresh, old, stale, isolated = 900 * time.Millisecond, 2600 * time.Millisecond, 3100 * time.Millisecond, 7 * time.Second
	for name, c := range map[string]struct {
		in      authInput
		want    AuthResult
		refresh bool
	}{
		"no keys required":                  {in: authInput{found: AuthOpen, age: fresh}, want: AuthOpen},
		"no keys required, old":             {in: authInput{found: AuthOpen, age: old}, refresh: true},
		"no keys required, just checked":    {in: authInput{found: AuthOpen, age: old, rechecked: true}, want: AuthOpen},
		"no keys required, nobody confirms": {in: authInput{found: AuthOpen, age: stale, refreshed: true, ownerKnown: true}, want: AuthOpen},
		"no keys required, isolated":        {in: authInput{found: AuthOpen, age: stale, refreshed: true}, want: AuthUndetermined},
		"no keys required, isolated, again": {in: authInput{found: AuthOpen, age: isolated, rechecked: true}, want: AuthUndetermined},
		"public route":                      {in: authInput{found: AuthPublic, age: fresh, strict: true}, want: AuthPublic},
		"public route, nobody confirms":     {in: authInput{found: AuthPublic, age: isolated, refreshed: true, ownerKnown: true, strict: true}, want: AuthPublic},
		"public route, isolated":            {in: authInput{found: AuthPublic, age: isolated, refreshed: true, strict: true}, want: AuthUndetermined},
		"without a key":                     {in: authInput{found: AuthNoKey, age: fresh}, want: AuthNoKey},
		"without a key, old":                {in: authInput{found: AuthNoKey, age: old}, refresh: true},
		"without a key, nobody confirms":    {in: authInput{found: AuthNoKey, age: stale, refreshed: true, ownerKnown: true}, want: AuthUndetermined},
		"no route":                          {in: authInput{found: AuthNoRoute, age: fresh}, want: AuthNoRoute},
		"no route, a second old":            {in: authInput{found: AuthNoRoute, age: fresh + 200*time.Millisecond}, refresh: true},
		"no route, read again":              {in: authInput{found: AuthNoRoute, age: fresh, refreshed: true}, want: AuthNoRoute},
		"no route, nobody confirms":         {in: authInput{found: AuthNoRoute, age: stale, refreshed: true, ownerKnown: true}, want: AuthUndetermined},
		"no route, just checked":            {in: authInput{found: AuthNoRoute, age: stale, rechecked: true}, want: AuthUndetermined},
		"no route, never confirmed":         {in: authInput{found: AuthNoRoute, age: maxAge, refreshed: true, ownerKnown: true}, want: AuthUndetermined},
		"known":                             {in: authInput{found: AuthKnownKey, age: fresh}, want: AuthKnownKey},
		"known, old":                        {in: authInput{found: AuthKnownKey, age: old}, refresh: true},
		"known, old, just checked":          {in: authInput{found: AuthKnownKey, age: old, rechecked: true}, want: AuthKnownKey},
		"known, nobody confirms":            {in: authInput{found: AuthKnownKey, age: isolated, refreshed: true, ownerKnown: true}, want: AuthKnownKey},
		"known, isolated":                   {in: authInput{found: AuthKnownKey, age: isolated, refreshed: true}, want: AuthUndetermined},
		"known, never confirmed":            {in: authInput{found: AuthKnownKey, age: maxAge, refreshed: true, ownerKnown: true}, want: AuthKnownKey},
		"known, never confirmed, isolated":  {in: authInput{found: AuthKnownKey, age: maxAge, refreshed: true}, want: AuthUndetermined},
		"known, nobody confirms, strict":    {in: authInput{found: AuthKnownKey, age: isolated, refreshed: true, ownerKnown: true, strict: true}, want: AuthUnconfirmed},
		"known, just checked, strict":       {in: authInput{found: AuthKnownKey, age: isolated, rechecked: true, ownerKnown: true, strict: true}, want: AuthUnconfirmed},
		"known, old, strict":                {in: authInput{found: AuthKnownKey, age: old, refreshed: true, strict: true}, want: AuthKnownKey},
		"unknown":                           {in: authInput{found: AuthUnknownKey, age: fresh}, refresh: true},
		"unknown, just checked":             {in: authInput{found: AuthUnknownKey, age: fresh, rechecked: true}, refresh: true},
		"unknown, read again":               {in: authInput{found: AuthUnknownKey, refreshed: true}, want: AuthUnknownKey},
		"unknown, old":                      {in: authInput{found: AuthUnknownKey, age: fresh, refreshed: true}, want: AuthUndetermined},
		"unknown, never confirmed":          {in: authInput{found: AuthUnknownKey, age: maxAge, refreshed: true}, want: AuthUndetermined},
		"unknown, strict":                   {in: authInput{found: AuthUnknownKey, age: isolated, refreshed: true, strict: true}, want: AuthUnconfirmed},
		"refused by the owner":              {in: authInput{found: AuthKnownKey, age: fresh, behind: true}, want: AuthRevoked, refresh: true},
		"refused by the owner, no newer":    {in: authInput{found: AuthKnownKey, age: fresh, behind: true, refreshed: true}, want: AuthRevoked},
		"refused, no keys, no newer":        {in: authInput{found: AuthOpen, age: fresh, behind: true, refreshed: true}, want: AuthUndetermined},
		"refused, public, no newer":         {in: authInput{found: AuthPublic, age: fresh, behind: true, refreshed: true}, want: AuthRevoked},
		"refused, then known in a newer":    {in: authInput{found: AuthKnownKey, age: fresh, refreshed: true}, want: AuthKnownKey},
		"refused, unknown in an old one":    {in: authInput{found: AuthUnknownKey, age: old, behind: true, refreshed: true}, want: AuthUndetermined},
		"refused, the route has gone now":   {in: authInput{found: AuthNoRoute, age: fresh, behind: true}, want: AuthNoRoute},
	} {
		c.in.revokeLimit, c.in.limits = 5*time.Second, newConfigLimits(testConfigApply)
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
			ownerKnown:  rapid.Bool().Draw(t, "owner known"),
			strict:      rapid.Bool().Draw(t, "strict"),
			revokeLimit: 5 * time.Second,
			limits:      newConfigLimits(testConfigApply),
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
		case got.admits() && in.age > in.limits.serve && !in.refreshed && !in.rechecked:
			t.Fatal("a request is served by an old configuration without a check")
		case got.admits() && in.age > in.limits.apply && !in.ownerKnown:
			t.Fatal("a process that is cut off serves a request by an old configuration")
		case (got == AuthNoRoute || got == AuthNoKey) && in.age > in.limits.apply:
			t.Fatalf("%s for certain by a configuration that may be out of force", got)
		case got == AuthKnownKey && in.strict && in.age > in.revokeLimit:
			t.Fatal("a known key is served by an unconfirmed configuration")
		case got.admits() && got != in.found:
			t.Fatalf("%s was found as %s", got, in.found)
		}
	})
}
