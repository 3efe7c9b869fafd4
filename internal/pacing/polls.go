package pacing

import "time"

const (
	// minPollDelay is the median delay of calls above which polls wait for more urgent calls.
	minPollDelay = 50 * time.Millisecond
	// pollPauseFactor is the ratio of the pause to the delay above minPollDelay. The ends of runs are reported later, but
	// several at a time.
	pollPauseFactor = 4
	// maxPollPause bounds the pause. With the longest wait of a poll and its timeout, a lease is still renewed in time.
	maxPollPause = 600 * time.Millisecond
	// idlePollPause is the ratio of the pauses of a runner without runs, of which only the answer itself is of interest.
	idlePollPause = 2
)

// PollPause returns the pause before the next poll of a runner, given the median delay of calls.
func PollPause(delay time.Duration, hasRuns bool) time.Duration {
	pause := max(0, min(pollPauseFactor*(delay-minPollDelay), maxPollPause))
	if !hasRuns {
		pause *= idlePollPause
	}
	return pause
}
