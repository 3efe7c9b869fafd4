package candidacy

const (
	// cpuPerDirectCalls is the part of cpuPerStart that the calls to the runners take: the start, and the poll that reports its
	// end (docs/CAPACITY.md).
	cpuPerDirectCalls = 0.4
)

// DirectCallShare returns which share of its processor or link, whichever is larger, an owner needs to call the runners itself under
// a load.
func DirectCallShare(m Machine, l Load) float64 {
	l = l.expected()
	share := 0.0
	if m.CPU > 0 {
		share = cpuPerDirectCalls * l.StartsPerSecond / float64(m.CPU)
	}
	if m.LinkMbps > 0 {
		bytes := bytesPerRunner*float64(l.Runners) + bytesPerStart*l.StartsPerSecond
		share = max(share, bytes*bitsPerByte/bitsPerMegabit/m.LinkMbps)
	}
	return share
}
