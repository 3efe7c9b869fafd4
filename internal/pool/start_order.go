package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// StartCommand is a start command to send to an endpoint at once. Its result
// goes to Pool.Finished.
type StartCommand struct {
	Attempt       model.AttemptID
	Endpoint      string
	StartBeforeMS int64  // endpoint's clock
	Instance      string // of the endpoint; StartBeforeMS means nothing to another
	Token         uint64
	Template      model.TemplateID
	Resources     model.Resources
	RunLimit      time.Duration
}
