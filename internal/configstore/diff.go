package configstore

import (
	"encoding/json"
	"strings"
)

// maxDiffCells limits the cost of comparing two texts, counted in pairs of lines.
// Above it, the differing middle part is shown as replaced in full.
const maxDiffCells = 4 << 20

// Diff returns the lines that differ between two texts: "-" lines only in a,
// "+" lines only in b, without unchanged lines.
func Diff(a, b string) string {
	left, right := lines(a), lines(b)
	for len(left) > 0 && len(right) > 0 && left[0] == right[0] {
		left, right = left[1:], right[1:]
	}
	for len(left) > 0 && len(right) > 0 && left[len(left)-1] == right[len(right)-1] {
		left, right = left[:len(left)-1], right[:len(right)-1]
	}
	var out strings.Builder
	if len(left)*len(right) > maxDiffCells {
		writeLines(&out, "-", left...)
		writeLines(&out, "+", right...)
		return out.String()
	}
	common := commonLengths(left, right)
	i, j := 0, 0
	for i < len(left) || j < len(right) {
		switch {
		case i < len(left) && j < len(right) && left[i] == right[j]:
			i, j = i+1, j+1
		case j == len(right) || i < len(left) && common[i+1][j] >= common[i][j+1]:
			writeLines(&out, "-", left[i])
			i++
		default:
			writeLines(&out, "+", right[j])
			j++
		}
	}
	return out.String()
}

// commonLengths returns a table with the length of the longest common subsequence
// of each pair of suffixes.
func commonLengths(a, b []string) [][]int32 {
	lengths := make([][]int32, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}

func lines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

func writeLines(out *strings.Builder, prefix string, lines ...string) {
	for _, l := range lines {
		out.WriteString(prefix + l + "\n")
	}
}

// diffText returns the text of the document that a diff of two revisions compares.
func (d Document) diffText() string {
	if d.Drained == nil && d.Paused == nil {
		return d.Source
	}
	b, err := json.MarshalIndent(struct {
		Drained any `json:"drained"`
		Paused  any `json:"paused"`
	}{d.Drained, d.Paused}, "", "  ")
	if err != nil {
		return ""
	}
	return string(b)
}
