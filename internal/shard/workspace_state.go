package shard

// workspaceState counts the recent starts of a workspace for fair sharing.
type workspaceState struct {
	usage decayingSum // started tasks
}
