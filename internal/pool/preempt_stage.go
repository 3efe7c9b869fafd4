package pool

// preemptStage is the stage that the preemption of an attempt has reached.
type preemptStage int

const (
	stageNone preemptStage = iota
	stageThrottled
	stageCheckpointed // checkpoint requested, which ends the task
	stageStopped
)
