package membership

import "github.com/agateyard/agateyard/internal/model"

// Update is the current view and the reachability of the store.
type Update struct {
	View model.View // Number is 0 until the first view is known
	// StoreReachable is false after two consecutive lease renewals or
	// registrations have failed.
	StoreReachable bool
}
