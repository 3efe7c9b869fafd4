package pool

import "github.com/agateyard/agateyard/internal/model"

// CommandKind says what a command does to a running attempt.
type CommandKind string

// The kinds of commands.
const (
	CommandThrottle   CommandKind = "throttle"
	CommandUnthrottle CommandKind = "unthrottle"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandStop       CommandKind = "stop" // sent as a cancel
)

// Command is a command to an endpoint that the pool issues on its own, for
// preemption. The end of the attempt is certain only once the endpoint reports it.
type Command struct {
	Kind     CommandKind
	Endpoint string
	Attempt  model.AttemptID
	Token    uint64
}
