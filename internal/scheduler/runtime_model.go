package scheduler

import (
	"math"
	"time"
)

// runtimeModel predicts the run time of a queue's tasks from the declared run time. Declared times are inaccurate, to a
// degree that differs between queues. The model is a linear regression of the logarithm of the measured time on that of
// the declared time, so that a prediction depends on the declared time only as far as the two are correlated.
type runtimeModel struct {
	n, x, y, xx, xy float64
	spread          runtimeSpread
}

const (
	// minModelRuns is the (decayed) number of runs below which the declared time is used instead of a prediction.
	minModelRuns = 12
	// modelDecay is the factor by which the weight of earlier runs decays with each further run.
	modelDecay = 0.995
	// minRunMillis is the lower limit of run times in the model, which bounds the logarithm.
	minRunMillis = 1
)

func logMillis(d time.Duration) float64 {
	return math.Log(max(float64(d)/float64(time.Millisecond), minRunMillis))
}

// observe adds a completed run.
func (m *runtimeModel) observe(declared, measured time.Duration) {
	x, y := logMillis(declared), logMillis(measured)
	if m.n >= minModelRuns {
		m.spread.observe(y - logMillis(m.predict(declared)))
	}
	m.n = m.n*modelDecay + 1
	m.x = m.x*modelDecay + x
	m.y = m.y*modelDecay + y
	m.xx = m.xx*modelDecay + x*x
	m.xy = m.xy*modelDecay + x*y
}

// predict returns the expected run time of a task with the given declared run time.
func (m *runtimeModel) predict(declared time.Duration) time.Duration {
	if m.n < minModelRuns {
		return declared
	}
	meanX, meanY := m.x/m.n, m.y/m.n
	slope := 0.0
	if variance := m.xx/m.n - meanX*meanX; variance > 1e-6 {
		slope = min(max((m.xy/m.n-meanX*meanY)/variance, 0), 1)
	}
	return time.Duration(math.Exp(meanY+slope*(logMillis(declared)-meanX)) * float64(time.Millisecond))
}
