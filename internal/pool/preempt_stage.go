package pool

// preemptStage says how far the preemption of an attempt has gone.
type preemptStage int

const (
	stageNone preemptStage = iota
	stageThrottled
	stageCheckpointed // checkpoint ordered; it ends the task
	stageStopped
)
