package bench

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/load"
)

// minMeanMax is the minimum, mean and maximum over the entry processes.
type minMeanMax struct{ lowest, mean, highest float64 }

func (s *minMeanMax) add(v float64, count int) {
	if count == 0 || v < s.lowest {
		s.lowest = v
	}
	if count == 0 || v > s.highest {
		s.highest = v
	}
	s.mean = (s.mean*float64(count) + v) / float64(count+1)
}

func (s minMeanMax) String() string {
	return fmt.Sprintf("%.2f (%.2f to %.2f)", s.mean, s.lowest, s.highest)
}

// Result is the result of one measurement.
type Result struct {
	opts    Options
	elapsed time.Duration

	cpuPercent    minMeanMax // percent of a core used by an entry process
	rssMB         minMeanMax // resident set size, MB
	sent          minMeanMax // KB/s written by an entry process, including answers to callers
	received      minMeanMax
	writeCalls    minMeanMax // write calls per second
	storeSent     minMeanMax // KB/s sent to the store, including VM list calls
	storeReceived minMeanMax
	endpoint      usage // of the stand-in process with the endpoints, during the measurement
	writes        float64
	reads         float64
	watches       int
	calls         map[string]float64
	changeTimes   []time.Duration
	load          load.Report
	loadAverage   float64 // one-minute load average of the machine at the end
}

const kilobyte = 1000.0

// Print writes the result as text.
func (r Result) Print(w io.Writer) error {
	var b strings.Builder
	o := r.opts
	fmt.Fprintf(&b, "members %d, zones %d, workers %d, runners %d, tasks %g/s, requests %g/s, once %g, queued %d, %.0f s, machine load %.1f\n",
		o.Members, o.Zones, o.Workers, o.Runners, o.JobRate, o.RequestRate, o.NonIdempotentShare, o.Queued, r.elapsed.Seconds(), r.loadAverage)
	fmt.Fprintf(&b, "  entry process: mean (least to greatest)\n")
	fmt.Fprintf(&b, "    core %%         %v\n    memory MB      %v\n", r.cpuPercent, r.rssMB)
	fmt.Fprintf(&b, "    sent KB/s      %v\n    received KB/s  %v\n    sends/s        %v\n", r.sent, r.received, r.writeCalls)
	fmt.Fprintf(&b, "    to store KB/s  %v\n    from store KB/s %v\n", r.storeSent, r.storeReceived)
	fmt.Fprintf(&b, "  store: %.1f writes/s, %.1f reads/s, %d pending watches, calls/s %v\n", r.writes, r.reads, r.watches, r.calls)
	if count := float64(o.Workers + o.Runners); count > 0 {
		seconds := r.elapsed.Seconds()
		fmt.Fprintf(&b, "  endpoint (stand-in): %.4f%% of a core, %.2f MB, %.1f B/s sent, %.1f B/s received each\n",
			100*r.endpoint.cpu.Seconds()/seconds/count, float64(r.endpoint.rss)/1e6/count,
			float64(r.endpoint.written)/seconds/count, float64(r.endpoint.read)/seconds/count)
	}
	if len(r.changeTimes) > 0 {
		fmt.Fprintf(&b, "  changes in force everywhere after %v\n", r.changeTimes)
	}
	for _, s := range r.load.Total {
		fmt.Fprintf(&b, "  load %s: counts %+v, latency ms p50 %v p99 %v, wait %+v\n", s.Stream, s.Counts, s.Latency.P50, s.Latency.P99, s.Wait)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
