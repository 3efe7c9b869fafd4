package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// StartCommand is a start to send to an endpoint immediately. Pass its result to
// Pool.HandleStartResult.
type StartCommand struct {
	Attempt       model.AttemptID
	Endpoint      string
	StartBeforeMS int64  // start deadline, in the endpoint's clock
	Instance      string // of the endpoint; StartBeforeMS is valid only for this instance
	Token         uint64
	Template      model.TemplateID
	Resources     model.Resources
	RunLimit      time.Duration
}
