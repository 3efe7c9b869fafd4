package job

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Queued   State = "queued" // accepted, no task has started
	Running  State = "running"
	Done     State = "done"
	Failed   State = "failed"
	Canceled State = "canceled"
)

// Final reports whether the state is final.
func (s State) Final() bool {
	return s == Done || s == Failed || s == Canceled
}
