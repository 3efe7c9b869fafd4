package job

// Crash is the loss of a runner that a task, or its gang, may have caused.
type Crash struct {
	Runner      string `json:"r"`
	Incarnation int64  `json:"b,omitempty"`
	Run         int    `json:"n"`
	// Suspects is the number of tasks and gangs that may have caused the loss, this one included; 0 if the loss has another
	// likely cause or none of them is more likely than all that ran there.
	Suspects int `json:"of,omitempty"`
	// Started says that the runner had confirmed the run, or was lost right after the start was sent. Any other start without an
	// answer may never have reached it.
	Started bool `json:"ok,omitempty"`
	// CommonCause says that the runner was lost together with many others, as a rack that loses power.
	CommonCause bool `json:"cc,omitempty"`
}
