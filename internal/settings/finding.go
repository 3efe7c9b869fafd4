package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error in a TOML file. Line and Column start at 1; both are 0 if the
// error has no position in the file. Column counts bytes.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key,omitempty"` // dotted key
	Message string `json:"message"`
}

// String returns "file:line:column: key: message".
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	b.WriteString(": ")
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings is the error for an invalid file. It contains all errors in the file,
// ordered by position.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

func (f Findings) sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Column < f[j].Column
	})
}
