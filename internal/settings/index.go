package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// place is a line and a column, both from 1.
type place struct{ line, column int }

// index locates the keys of a TOML document.
type index struct {
	places map[string]place // by dotted key: the value of a key, the name of a table
	spans  []span           // in order of the document
	err    error            // of the syntax
}

// span is the part of the document that one key or one table takes.
type span struct {
	key        string
	start, end int // byte offsets; a table reaches to the next table
	table      bool
}

// newIndex walks the document up to its first syntax error.
func newIndex(src []byte) index {
	ix := index{places: map[string]place{}}
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
			ix.add(join(path), placeOf(&p, at))
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

// closeTable ends the last table at the offset.
func (ix *index) closeTable(end int) {
	for i := len(ix.spans) - 1; i >= 0; i-- {
		if ix.spans[i].table {
			ix.spans[i].end = end
			return
		}
	}
}

func (ix *index) add(key string, at place) {
	if _, ok := ix.places[key]; !ok {
		ix.places[key] = at
	}
}

// addValue records the place of a value and of the keys of an inline table.
func (ix *index) addValue(p *unstable.Parser, path []string, key unstable.Range, value *unstable.Node) {
	at := value.Raw
	if at.Length == 0 { // the parser gives arrays no range
		at = key
	}
	ix.add(join(path), placeOf(p, at))
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

// find returns the innermost span that contains the offset.
func (ix *index) find(offset int) (span, bool) {
	var found span
	ok := false
	for _, s := range ix.spans {
		if s.start <= offset && offset < s.end && (!ok || !s.table || found.table) {
			found, ok = s, true
		}
	}
	return found, ok
}

// keyAt returns the key whose value is at the place, or the fallback. It finds
// the keys of inline tables, which have no span of their own.
func (ix *index) keyAt(at place, fallback string) string {
	for key, p := range ix.places {
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

func placeOf(p *unstable.Parser, r unstable.Range) place {
	start := p.Shape(r).Start
	return place{line: start.Line, column: start.Column}
}

func join(path []string) string { return strings.Join(path, ".") }

func lineStart(src []byte, offset int) int {
	for offset > 0 && src[offset-1] != '\n' {
		offset--
	}
	return offset
}

// offsetOf returns the byte offset of a place.
func offsetOf(src []byte, at place) int {
	offset := 0
	for line := 1; line < at.line && offset < len(src); offset++ {
		if src[offset] == '\n' {
			line++
		}
	}
	return min(offset+at.column-1, len(src))
}
