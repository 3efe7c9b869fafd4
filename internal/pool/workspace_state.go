package pool

import "github.com/agateyard/agateyard/internal/model"

// workspaceState is the capacity that the tasks of a workspace hold in the pool.
type workspaceState struct {
	name    string
	charged model.Resources
}
