package pool

import "github.com/agateyard/agateyard/internal/model"

// CommandKind says what a command does to a running attempt.
type CommandKind string

// The kinds of commands.
const (
	CommandThrottle   CommandKind = "throttle"
	CommandUnthrottle CommandKind = "unthrottle"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandStop       CommandKind = "stop" // sent as a CancelCommand
)

// Command is a command to an endpoint that the pool issues on its own, for
// preemption. It is certain that the attempt is over only once the endpoint reports
// it.
type Command struct {
	Kind     CommandKind
	Endpoint string
	Attempt  model.AttemptID
	Token    uint64
}
