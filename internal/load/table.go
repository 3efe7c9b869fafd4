package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Table writes the report as text.
func (r Report) Table(w io.Writer) error {
	fmt.Fprintf(w, "scenario %s, seed %d, started %s; latencies in ms\n", r.Scenario, r.Seed, r.Started.Format("2006-01-02 15:04:05"))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, p := range r.Phases {
		fmt.Fprintf(t, "\nphase %s, %s\n", p.Name, p.Duration)
		writeStreams(t, p.Streams)
	}
	fmt.Fprintf(t, "\nall phases\n")
	writeStreams(t, r.Total)
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nsend lag of the generator: p99 %.1f ms, max %.1f ms\n", r.SendLag.P99, r.SendLag.Maximum)
	for _, s := range r.Total {
		for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
			fmt.Fprintf(w, "%s: %s %d\n", s.Stream, reason, s.Reasons[reason])
		}
		for _, e := range s.Errors {
			fmt.Fprintf(w, "%s: error: %s\n", s.Stream, e)
		}
	}
	for _, f := range r.Faults {
		fmt.Fprintf(w, "fault at %s: %s status %d %s\n", f.At, f.URL, f.Status, f.Error)
	}
	if e := r.Effects; e != nil {
		fmt.Fprintf(w, "effects: %d endpoints, %d entries, %d attempts, %d submissions checked, %d contradicting repeats\n",
			e.Endpoints, e.Entries, e.Attempts, e.Submissions, e.ContradictingRepeats)
	}
	failures := r.Failures()
	for _, f := range failures {
		fmt.Fprintf(w, "BROKEN: %s\n", f)
	}
	switch {
	case len(failures) > 0:
	case r.Effects == nil:
		fmt.Fprintln(w, "no wrong answer; effects were not checked")
	default:
		fmt.Fprintln(w, "no promise broken")
	}
	return nil
}

func writeStreams(w io.Writer, streams []StreamReport) {
	fmt.Fprintln(w, "stream\tsent\tran\tnot-run\tunknown\terror\trunning\tdropped\tran/s\tp50\tp90\tp99\tp999\tmax\twait p99\trefusal p99\t")
	for _, s := range streams {
		c, l := s.Counts, s.Latency
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			s.Stream, c.Sent, c.Ran, c.NotRun, c.Unknown, c.Error, c.Running, c.Dropped, s.Throughput,
			l.P50, l.P90, l.P99, l.P999, l.Maximum, s.Wait.P99, s.Refusal.P99)
	}
}
