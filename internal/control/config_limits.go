package control

import "time"

// decisionMargin is the time left for a request after the configuration by which it is decided.
const decisionMargin = 500 * time.Millisecond

// configLimits are ages of the configuration: times since it was last confirmed as the newest. They follow from the time
// after which a change has to be in force.
type configLimits struct {
	reread time.Duration // it is read again in the background
	serve  time.Duration // a request waits for another read
	apply  time.Duration // it may be out of force: nothing is decided by it for certain
}

func newConfigLimits(apply time.Duration) configLimits {
	return configLimits{reread: apply / 2, serve: max(apply-decisionMargin, apply/2), apply: apply}
}
