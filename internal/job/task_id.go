package job

import (
	"strconv"
	"strings"
)

// StepID identifies one occurrence of a step of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the identifier as used by runners and the advice service.
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies one task of a job.
type TaskID struct {
	StepID
	Index int
}

// String returns the identifier as used by runners.
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses a task identifier; ok is false if it is malformed.
func ParseTaskID(name string) (id TaskID, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		numbers[i] = n
	}
	return TaskID{StepID{parts[0], numbers[0], numbers[1]}, numbers[2]}, true
}
