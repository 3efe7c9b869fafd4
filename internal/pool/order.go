package pool

import "github.com/agateyard/agateyard/internal/model"

// CommandKind says what an order does to a running attempt.
type CommandKind string

// The kinds of orders.
const (
	CommandThrottle   CommandKind = "throttle"
	CommandUnthrottle CommandKind = "unthrottle"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandStop       CommandKind = "stop" // sent as a cancel
)

// Command is a command to an endpoint that the pool decided on by itself. The
// end of the attempt is certain only once the endpoint reports it.
type Command struct {
	Kind     CommandKind
	Endpoint string
	Attempt  model.AttemptID
	Token    uint64
}
