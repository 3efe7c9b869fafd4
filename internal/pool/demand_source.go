package pool

// demandSource is a shard owner that reports demand.
type demandSource struct {
	id     string
	seq    uint64
	muted  bool // let a grant expire; gets no more before its next message
	shares []*classShare
}
