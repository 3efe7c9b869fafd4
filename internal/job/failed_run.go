package job

// FailedRun is a run of a task that has failed lately. The task avoids its runner for a while.
type FailedRun struct {
	Runner string `json:"r"`
	Ended  int64  `json:"t"`           // Unix milliseconds
	AtOnce bool   `json:"q,omitempty"` // soon after its start, as on a faulty runner
}
