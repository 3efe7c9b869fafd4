package fairshare

import "time"

// Account holds the difference between what a tenant was owed and what it has used, in seconds of dominant share.
type Account struct {
	Balance float64
}

// Update adds what the tenant was owed in an interval and subtracts what it has used. The balance is limited to bound in
// each direction, so that neither an old debt nor an old credit lasts.
func (a *Account) Update(interval time.Duration, owed, used, bound float64) {
	a.Balance = min(max(a.Balance+(owed-used)*interval.Seconds(), -bound), bound)
}

// Decay moves the balance towards 0 by what the tenant is owed in an interval.
func (a *Account) Decay(interval time.Duration, owed float64) {
	change := owed * interval.Seconds()
	if a.Balance < 0 {
		a.Balance = min(a.Balance+change, 0)
		return
	}
	a.Balance = max(a.Balance-change, 0)
}

// Projected returns the balance after the given time if the tenant continues to use what it uses now. Work that has
// started continues to use its share, so that a balance which ignores it overshoots by the run time of tasks.
func (a *Account) Projected(after time.Duration, owed, used float64) float64 {
	return a.Balance + (owed-used)*after.Seconds()
}
