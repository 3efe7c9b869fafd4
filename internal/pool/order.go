package pool

import "github.com/agateyard/agateyard/internal/model"

// OrderKind says what an order does to a running attempt.
type OrderKind string

// The kinds of orders.
const (
	OrderThrottle   OrderKind = "throttle"
	OrderUnthrottle OrderKind = "unthrottle"
	OrderCheckpoint OrderKind = "checkpoint"
	OrderStop       OrderKind = "stop" // sent as a cancel
)

// Order is a command to an endpoint that the pool decided on by itself. The
// end of the attempt is certain only once the endpoint reports it.
type Order struct {
	Kind     OrderKind
	Endpoint string
	Attempt  model.AttemptID
	Token    uint64
}
