// Package tenant defines the tenants that share a cell, and maps the API keys of callers to them. It performs no I/O.
package tenant

import "github.com/agateyard/agateyard/internal/model"

// Tenant is the operator's settings for one tenant.
type Tenant struct {
	Name string
	// Weight is the number of jobs a second that the tenant is owed, and its share of the capacity, relative to the weights
	// of the other tenants, while more is requested than fits.
	Weight float64
	// Cap bounds what the tenant may have running on all runners together. A field that is 0 sets no limit.
	Cap model.Resources
}
