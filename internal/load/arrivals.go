package load

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// arrival is one request that the generator schedules for a stream.
type arrival struct {
	stream        *Stream
	phase         int
	offset        time.Duration // intended send time, relative to the start of the phase
	runTime       time.Duration
	fail          bool
	duplicate     bool
	orderingIndex int // index of the value of the ordering field
	entry         int // random; the index of the entry process modulo their number
	echo          string
}

// arrivals generates the Poisson arrivals of a stream in a phase. The same seed
// gives the same sequence.
type arrivals struct {
	stream *Stream
	phase  int
	rate   float64
	end    time.Duration
	offset time.Duration
	rng    *rand.Rand
}

func newArrivals(s Scenario, phase int, stream *Stream) *arrivals {
	p := s.Phases[phase]
	return &arrivals{
		stream: stream, phase: phase, rate: p.Rates[stream.Name], end: p.Duration.D(),
		rng: rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(stream.Name)+uint64(phase))),
	}
}

// next returns the next arrival, or false at the end of the phase.
func (a *arrivals) next() (arrival, bool) {
	if a.rate <= 0 {
		return arrival{}, false
	}
	a.offset += time.Duration(a.rng.ExpFloat64() / a.rate * float64(time.Second))
	if a.offset >= a.end {
		return arrival{}, false
	}
	st := a.stream
	out := arrival{
		stream: st, phase: a.phase, offset: a.offset,
		runTime:   st.Run.Draw(a.rng),
		fail:      a.rng.Float64() < st.FailRate,
		duplicate: a.rng.Float64() < st.Repeat,
		entry:     a.rng.IntN(1 << 20),
		// The echo value does not come from the seed, since endpoints keep the values
		// of earlier load tests.
		echo: newEcho(),
	}
	if st.OrderingValues > 0 {
		out.orderingIndex = a.rng.IntN(st.OrderingValues)
	}
	return out, true
}

// newEcho returns the value that the work echoes in its answer and that the
// endpoints write to their effect logs. It is unique across load tests.
func newEcho() string { return uuid.NewString() }
