package membership

import "github.com/agateyard/agateyard/internal/model"

// Update is what the manager knows of the cell.
type Update struct {
	View model.View // Number is 0 until the first view is known
	// StoreReachable is false after two lease renewals in a row have failed.
	StoreReachable bool
}
