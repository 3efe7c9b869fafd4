package decisionlog

import (
	"time"

	"github.com/sirupsen/logrus"
)

// maxHeldLines bounds the memory of held lines: about 4 MB.
const maxHeldLines = 8192

// heldLine is a line that is written only if its job ends badly.
type heldLine struct {
	job    string
	event  string
	fields logrus.Fields
	at     time.Time
}

// heldLines holds lines by job. When it is full, the jobs whose first line is the oldest lose theirs.
type heldLines struct {
	byJob map[string][]heldLine
	order []string // jobs by their first line; may contain jobs without lines
	lines int
}

func newHeldLines() *heldLines { return &heldLines{byJob: map[string][]heldLine{}} }

// add holds a line and returns the lines that are dropped for it.
func (h *heldLines) add(line heldLine) (dropped []heldLine) {
	if h.byJob[line.job] == nil {
		h.order = append(h.order, line.job)
	}
	h.byJob[line.job] = append(h.byJob[line.job], line)
	h.lines++
	for h.lines > maxHeldLines && len(h.order) > 0 {
		oldest := h.order[0]
		h.order = h.order[1:]
		dropped = append(dropped, h.take(oldest)...)
	}
	if len(h.order) > 2*len(h.byJob)+maxHeldLines {
		h.compact()
	}
	return dropped
}

// take removes and returns the lines of a job.
func (h *heldLines) take(job string) []heldLine {
	lines := h.byJob[job]
	delete(h.byJob, job)
	h.lines -= len(lines)
	return lines
}

// compact removes the jobs without lines from the order.
func (h *heldLines) compact() {
	keep := h.order[:0]
	seen := map[string]bool{}
	for _, job := range h.order {
		if h.byJob[job] != nil && !seen[job] {
			keep = append(keep, job)
			seen[job] = true
		}
	}
	h.order = keep
}
