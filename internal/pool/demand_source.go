package pool

// demandSource is a shard owner that reports demand.
type demandSource struct {
	id        string
	seq       uint64
	suspended bool // let a grant expire; gets no more grants before its next demand message
	demands   []*ownerDemand
}
