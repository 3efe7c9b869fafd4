package pool

// templateHealth distinguishes failures caused by the template from failures
// caused by an endpoint.
type templateHealth struct {
	succeededOn [2]string       // the last two endpoints with a success
	failedOn    map[string]bool // endpoints with a failure since the last success
	broken      bool
}

// succeededElsewhere reports whether the template is known to succeed on
// another endpoint.
func (h *templateHealth) succeededElsewhere(id string) bool {
	for _, on := range h.succeededOn {
		if on != "" && on != id {
			return true
		}
	}
	return false
}

func (h *templateHealth) succeeded(id string) {
	h.broken = false
	h.failedOn = nil
	if h.succeededOn[0] != id {
		h.succeededOn[1] = h.succeededOn[0]
		h.succeededOn[0] = id
	}
}

// failed records a failure and reports whether it marked the template broken.
func (h *templateHealth) failed(id string, threshold int) bool {
	if h.broken {
		return false
	}
	if h.failedOn == nil {
		h.failedOn = map[string]bool{}
	}
	h.failedOn[id] = true
	if len(h.failedOn) < threshold {
		return false
	}
	h.broken = true
	h.succeededOn = [2]string{}
	h.failedOn = nil
	return true
}
