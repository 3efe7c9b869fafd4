package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// Prediction is the expected run time and resource use of one task of a template.
type Prediction struct {
	Template model.TemplateID
	Mean     time.Duration   // moving average of measured run times
	High     time.Duration   // 95th percentile of measured run times, rounded up to a histogram bucket
	Measured int             // number of measured runs; below minMeasured the declared run limit is returned
	Usage    model.Resources // moving average of the measured peak use
	Running  int             // tasks charged to endpoints of the pool
}
