package standin

import "github.com/agateyard/agateyard/internal/endpoint"

// Stats counts what an endpoint has seen, over restarts.
type Stats struct {
	Sessions       int                          `json:"sessions"`
	Starts         int                          `json:"starts"` // accepted
	Refusals       map[endpoint.RefusalCode]int `json:"refusals"`
	Connections    int                          `json:"connections"`     // open now
	MaxConnections int                          `json:"max_connections"` // most that were open at a time
	Rejected       int                          `json:"rejected"`        // connections beyond the limit
	Running        int                          `json:"running"`
	Instance       string                       `json:"instance"`
}
