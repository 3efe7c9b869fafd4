package tenant

// Finding is a problem of the tenants in a configuration.
type Finding struct {
	Place   string // where in the configuration, such as "tenants[2].weight"
	Problem string
}

// String returns the place and the problem.
func (f Finding) String() string { return f.Place + ": " + f.Problem }
