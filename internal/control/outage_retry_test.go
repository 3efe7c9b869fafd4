package control

import (
	"fmt"
	"testing"
	"time"
)

// Guards against callers that all come back in the same moment, or long after the store has returned: a thousand
// submissions that are refused at the same moment of an outage.
func TestOutageRetryAfterIsSpread(t *testing.T) {
	for _, c := range []struct{ failing, least, most time.Duration }{
		{300 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond},
		{4 * time.Second, 2 * time.Second, 6 * time.Second},
		{time.Hour, 4 * time.Second, 12 * time.Second},
	} {
		const jobs = 1000
		tenths := map[int]int{} // of the interval between the least and the most
		for i := range jobs {
			got := outageRetryAfter(c.failing, fmt.Sprintf("%016x", i))
			if got < c.least || got > c.most {
				t.Fatalf("failing for %v: retry after %v, not between %v and %v", c.failing, got, c.least, c.most)
			}
			tenths[int(10*(got-c.least)/(c.most-c.least))]++
		}
		for tenth, n := range tenths {
			if n > jobs/5 {
				t.Errorf("failing for %v: %d of %d callers return in tenth %d of the interval", c.failing, n, jobs, tenth)
			}
		}
	}
}
