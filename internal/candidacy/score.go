package candidacy

const (
	// reserve is the ratio of what an owner should have to what the load needs on average. Callers submit 1.5 to 2.3 times
	// their usual load in bursts.
	reserve = 2
	// cpuPerStart is in thousandths of a core: 0.81 ms of processor time for each start with its end and record, polls
	// included (docs/CAPACITY.md).
	cpuPerStart = 0.81
	// bytesPerRunner and bytesPerStart are the owner's traffic a second and for each start, in both directions. The
	// busiest VM used 436 KB/s with 300 runners and 1,343 KB/s with 1,002 (docs/CAPACITY.md), which is 1.3 to 1.5 KB a
	// runner with few starts. The share of a start is arithmetic: its request, the report of its end, its record.
	bytesPerRunner = 1300
	bytesPerStart  = 1500
	// baseMemoryMB, memoryPerRunnerMB and maxMemoryMB describe the measured 133, 301 and 277 MB with 300, 1,002 and 3,000
	// runners.
	baseMemoryMB      = 60
	memoryPerRunnerMB = 0.24
	maxMemoryMB       = 300
	// descriptorsPerRunner was measured with direct calls (1,470 with 300 runners); maxDescriptors with relayed ones (1,657
	// with 3,000 runners).
	descriptorsPerRunner = 4.9
	maxDescriptors       = 1700

	bitsPerByte, bitsPerMegabit = 8, 1e6
)

// Score returns how well a machine can carry the owner's work under a load: 1 if it has enough of everything, otherwise the
// smallest ratio of what it has to what is needed. What is not known of a machine doesn't count, so that a process of
// an earlier build, which only tells its processor share, is compared by that.
func Score(m Machine, l Load) float64 {
	l = l.expected()
	runners := float64(l.Runners)
	score := min(1, float64(m.CPU)/(reserve*cpuPerStart*l.StartsPerSecond))
	limit := func(has, needs float64) {
		if has > 0 {
			score = min(score, has/(reserve*needs))
		}
	}
	limit(m.LinkMbps, (bytesPerRunner*runners+bytesPerStart*l.StartsPerSecond)*bitsPerByte/bitsPerMegabit)
	limit(float64(m.MemoryMB), min(baseMemoryMB+memoryPerRunnerMB*runners, maxMemoryMB))
	limit(float64(m.Descriptors), min(descriptorsPerRunner*runners, maxDescriptors))
	return score
}

// StartsPerSecond returns about how many starts a second a machine can carry as the owner.
func StartsPerSecond(m Machine) float64 {
	rate := float64(m.CPU) / cpuPerStart
	if m.LinkMbps > 0 {
		rate = min(rate, m.LinkMbps*bitsPerMegabit/bitsPerByte/bytesPerStart)
	}
	return rate
}
