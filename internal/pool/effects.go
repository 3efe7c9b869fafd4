package pool

import "github.com/agateyard/agateyard/internal/timeline"

// Effects is what the event loop has to do after a call.
type Effects struct {
	Settled    []SettledNotice  // to be delivered; confirm with Pool.Delivered
	Commands   []Command        // to be sent to endpoints
	Events     []timeline.Event // for the time line
	Poll       []string         // endpoints whose session call should be sent at once
	Superseded bool             // an endpoint has seen a higher token: this owner has lost the pool
}
