package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a line and a column, both starting at 1.
type position struct{ line, column int }

// index locates the keys of a TOML document.
type index struct {
	positions map[string]position // by dotted key; position of a key's value or of a table's name
	spans     []span              // in document order
	err       error               // first syntax error
}

// span is the byte range of one key or one table in the document.
type span struct {
	key        string
	start, end int // byte offsets; a table extends to the next table header
	table      bool
}

// newIndex indexes the document up to its first syntax error.
func newIndex(src []byte) index {
	ix := index{positions: map[string]position{}}
	var p unstable.Parser
	p.Reset(src)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		path, at := keyPath(&p, e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = path
			start := lineStart(src, int(at.Offset))
			ix.closeTable(start)
			ix.spans = append(ix.spans, span{key: join(path), start: start, end: len(src), table: true})
			ix.add(join(path), positionOf(&p, at))
		case unstable.KeyValue:
			full := append(append([]string{}, table...), path...)
			raw := e.Raw
			ix.spans = append(ix.spans, span{key: join(full), start: int(raw.Offset), end: int(raw.Offset + raw.Length)})
			ix.addValue(&p, full, at, e.Value())
		}
	}
	ix.err = p.Error()
	return ix
}

// closeTable sets the end offset of the last table.
func (ix *index) closeTable(end int) {
	for i := len(ix.spans) - 1; i >= 0; i-- {
		if ix.spans[i].table {
			ix.spans[i].end = end
			return
		}
	}
}

func (ix *index) add(key string, at position) {
	if _, ok := ix.positions[key]; !ok {
		ix.positions[key] = at
	}
}

// addValue records the position of a value. For an inline table it also records the
// positions of the keys.
func (ix *index) addValue(p *unstable.Parser, path []string, key unstable.Range, value *unstable.Node) {
	at := value.Raw
	if at.Length == 0 { // the parser does not set a range for arrays
		at = key
	}
	ix.add(join(path), positionOf(p, at))
	if value.Kind != unstable.InlineTable {
		return
	}
	children := value.Children()
	for children.Next() {
		child := children.Node()
		sub, at := keyPath(p, child)
		ix.addValue(p, append(append([]string{}, path...), sub...), at, child.Value())
	}
}

// innermostSpan returns the innermost span that contains the offset.
func (ix *index) innermostSpan(offset int) (span, bool) {
	var found span
	ok := false
	for _, s := range ix.spans {
		if s.start <= offset && offset < s.end && (!ok || !s.table || found.table) {
			found, ok = s, true
		}
	}
	return found, ok
}

// keyAt returns the key inside the fallback key whose value is at the position, or the
// fallback key itself. This finds the keys of inline tables, which have no span.
func (ix *index) keyAt(at position, fallback string) string {
	for key, p := range ix.positions {
		if p == at && strings.HasPrefix(key, fallback+".") {
			return key
		}
	}
	return fallback
}

// keyPath returns the parts of the key of an expression and the range of the last part.
func keyPath(p *unstable.Parser, e *unstable.Node) ([]string, unstable.Range) {
	var path []string
	var at unstable.Range
	it := e.Key()
	for it.Next() {
		path = append(path, string(it.Node().Data))
		at = it.Node().Raw
	}
	return path, at
}

func positionOf(p *unstable.Parser, r unstable.Range) position {
	start := p.Shape(r).Start
	return position{line: start.Line, column: start.Column}
}

func join(path []string) string { return strings.Join(path, ".") }

func lineStart(src []byte, offset int) int {
	for offset > 0 && src[offset-1] != '\n' {
		offset--
	}
	return offset
}

// offsetOf returns the byte offset of a position.
func offsetOf(src []byte, at position) int {
	offset := 0
	for line := 1; line < at.line && offset < len(src); offset++ {
		if src[offset] == '\n' {
			line++
		}
	}
	return min(offset+at.column-1, len(src))
}
