package load

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// arrival is one request that a stream intends to send.
type arrival struct {
	stream   *Stream
	phase    int
	at       time.Duration // since the start of the phase
	run      time.Duration
	fail     bool
	repeat   bool
	ordering int // index of the value of the ordering field
	entry    int // random; taken modulo the number of entry processes
	echo     string
}

// arrivals draws the Poisson arrivals of a stream in a phase. The same seed
// gives the same sequence.
type arrivals struct {
	stream *Stream
	phase  int
	rate   float64
	end    time.Duration
	at     time.Duration
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
	a.at += time.Duration(a.rng.ExpFloat64() / a.rate * float64(time.Second))
	if a.at >= a.end {
		return arrival{}, false
	}
	st := a.stream
	out := arrival{
		stream: st, phase: a.phase, at: a.at,
		run:    st.Run.Draw(a.rng),
		fail:   a.rng.Float64() < st.FailRate,
		repeat: a.rng.Float64() < st.Repeat,
		entry:  a.rng.IntN(1 << 20),
		// The identifier of the work is not from the seed: endpoints remember the
		// identifiers of earlier runs.
		echo: newEcho(),
	}
	if st.OrderingValues > 0 {
		out.ordering = a.rng.IntN(st.OrderingValues)
	}
	return out, true
}

// newEcho returns the value that the work repeats in its answer and that the
// effect logs carry. It is unique over runs.
func newEcho() string { return uuid.NewString() }
