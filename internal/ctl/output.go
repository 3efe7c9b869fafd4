package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = printable(fmt.Sprint(c))
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

// printable replaces control characters, which could manipulate the terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}

// print writes the value as JSON or as the table that fill writes, depending on
// --output.
func (a *app) print(v any, fill func(*table)) error {
	if a.output == outputJSON {
		enc := json.NewEncoder(a.out)
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	t := &table{w: tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)}
	fill(t)
	return t.w.Flush()
}
