package pacing

import (
	"slices"
	"time"
)

const (
	// initialAnswerTime is the time within which the first starts are to be answered, by what the machine can carry.
	initialAnswerTime = 100 * time.Millisecond
	// minStarts and maxStarts bound the limit. With minStarts a start every 5 ms is sent when answers take 20 ms.
	minStarts, maxStarts = 4, 1024
	// initialMin and initialMax bound the first limit, which is an estimate only.
	initialMin, initialMax = 16, 256
	// adjustInterval is the minimum time between two changes of the limit.
	adjustInterval = 100 * time.Millisecond
	// minAnswers is the number of answers that an adjustment needs, so that one slow runner doesn't decide.
	minAnswers = 4
	// highDelay is the median delay of answers above which the limit falls: a fifth of the timeout of a start.
	highDelay = 100 * time.Millisecond
	// lowDelay is the median delay below which the limit rises.
	lowDelay = 50 * time.Millisecond
	// decrease is the factor by which the limit falls.
	decrease = 0.7
	// increaseShare: once the limit has fallen and is back at its target, it rises by 1/increaseShare of its value at a time.
	increaseShare = 8
)

// StartLimit limits the starts in flight. The limit follows the delay of the answers, so that an owner starts no more than
// it can deliver.
//
// A process that gets no processor for a while answers late at any limit, and the limit falls several times in a row. These
// falls lower the target, up to which the limit doubles once the answers are fast again, only once.
type StartLimit struct {
	limit    int
	inFlight int
	peak     int  // highest number in flight since the last adjustment
	target   int  // the limit doubles up to this value; 0: without end, as it has not fallen yet
	falling  bool // the last change was a fall
	delays   []time.Duration
	adjusted time.Duration
}

// NewStartLimit returns the limit of an owner whose machine can carry about the given rate of starts.
func NewStartLimit(startsPerSecond float64) *StartLimit {
	first := int(startsPerSecond * initialAnswerTime.Seconds())
	return &StartLimit{limit: min(max(first, initialMin), initialMax)}
}

// Budget returns how many more starts may be sent.
func (l *StartLimit) Budget() int { return max(l.limit-l.inFlight, 0) }

// Limit returns the number of starts that may be in flight.
func (l *StartLimit) Limit() int { return l.limit }

// Sent records a start.
func (l *StartLimit) Sent() {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
}

// Answered records the answer to a start, or its timeout.
func (l *StartLimit) Answered(delay, now time.Duration) {
	l.inFlight--
	l.delays = append(l.delays, delay)
	if now-l.adjusted < adjustInterval || len(l.delays) < minAnswers {
		return
	}
	slices.Sort(l.delays)
	median := l.delays[len(l.delays)/2]
	switch {
	case median > highDelay && 2*l.peak >= l.limit: // otherwise something else is slow
		if !l.falling {
			l.target = max(int(float64(max(l.limit, l.target))*decrease), minStarts)
		}
		l.limit = max(int(float64(l.limit)*decrease), minStarts)
		l.falling = true
	case median < lowDelay && l.peak >= l.limit:
		l.raise()
		l.falling = false
	}
	l.delays, l.adjusted, l.peak = l.delays[:0], now, l.inFlight
}

func (l *StartLimit) raise() {
	switch {
	case l.target == 0:
		l.limit *= 2
	case l.limit < l.target:
		l.limit = min(2*l.limit, l.target)
	default:
		l.target = min(l.limit+max(l.limit/increaseShare, 1), maxStarts)
		l.limit = l.target
	}
	l.limit = min(l.limit, maxStarts)
}
