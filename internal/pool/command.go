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
// preemption. Its success doesn't prove that the attempt is over; only the
// conditions under "Capacity accounting" in the package comment do.
type Command struct {
	Kind     CommandKind
	Endpoint string
	Attempt  model.AttemptID
	Token    uint64
}
