package standin

import "github.com/agateyard/agateyard/internal/endpoint"

// Stats contains counters and current values of an endpoint. Restarts don't reset
// the counters.
type Stats struct {
	Sessions       int                          `json:"sessions"`
	Starts         int                          `json:"starts"` // accepted
	Refusals       map[endpoint.RefusalCode]int `json:"refusals"`
	Connections    int                          `json:"connections"`     // open now
	MaxConnections int                          `json:"max_connections"` // highest number of open connections
	Rejected       int                          `json:"rejected"`        // connections reset because of the limit
	Running        int                          `json:"running"`
	Instance       string                       `json:"instance"`
}
