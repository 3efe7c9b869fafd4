package settings

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFindings limits the syntax and type errors that are collected for one file,
// because each one requires another pass over the file.
const maxFindings = 100

// Document is a decoded TOML file with the positions of its keys and the errors found
// in it.
type Document struct {
	file     string
	index    index
	partial  bool // parts with syntax errors were left out
	findings Findings
}

// Decode decodes the TOML text into the struct that into points to. A key that the
// struct does not have is an error. Decoding continues after an error, so that one
// call finds all of them; the invalid values are then missing in the struct.
func Decode(file string, src []byte, into any) *Document {
	d := &Document{file: file}
	work := bytes.Clone(src)
	d.blankSyntaxErrors(work)
	for len(d.findings) < maxFindings {
		dec := toml.NewDecoder(bytes.NewReader(work))
		dec.DisallowUnknownFields()
		err := dec.Decode(into)
		var unknown *toml.StrictMissingError // wraps decode errors, so it must be checked first
		var decodeErr *toml.DecodeError
		switch {
		case err == nil:
			return d
		case errors.As(err, &unknown):
			d.addUnknownKeys(unknown)
			return d
		case !errors.As(err, &decodeErr):
			d.addError(err)
			return d
		}
		if !d.blankValue(work, decodeErr) {
			return d
		}
	}
	return d
}

// Has reports whether the file sets the key, even to an invalid value.
func (d *Document) Has(key string) bool {
	_, ok := d.index.positions[key]
	return ok
}

// Complete reports whether the whole file could be parsed. If not, a syntax error may
// hide a key that seems to be missing.
func (d *Document) Complete() bool { return !d.partial }

// Report adds a finding at the position of the key, or of the innermost enclosing
// table that the file has if it does not set the key. It does nothing if the key
// already has a finding.
func (d *Document) Report(key, format string, args ...any) {
	for _, f := range d.findings {
		if f.Key == key {
			return
		}
	}
	at := d.nearestPosition(key)
	d.findings = append(d.findings, Finding{
		File: d.file, Line: at.line, Column: at.column, Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// Err returns the findings, ordered by position, as an error of type Findings, or nil
// if there are none.
func (d *Document) Err() error {
	if len(d.findings) == 0 {
		return nil
	}
	d.findings.sort()
	return d.findings
}

func (d *Document) nearestPosition(key string) position {
	for {
		if at, ok := d.index.positions[key]; ok {
			return at
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			return position{line: 1, column: 1}
		}
		key = key[:cut]
	}
}

// blankSyntaxErrors blanks the parts with syntax errors, so that the rest can be
// checked: the line of the error, or the whole table if the table header is invalid,
// because its keys would otherwise be assigned to the preceding table.
func (d *Document) blankSyntaxErrors(work []byte) {
	for {
		d.index = newIndex(work)
		if d.index.err == nil {
			return
		}
		d.partial = true
		var decodeErr *toml.DecodeError
		if !errors.As(toml.Unmarshal(work, &map[string]any{}), &decodeErr) || len(d.findings) >= maxFindings {
			d.addError(d.index.err)
			blank(work)
			continue
		}
		line, column := decodeErr.Position()
		d.findings = append(d.findings, Finding{File: d.file, Line: line, Column: column, Message: userMessage(decodeErr.Error())})
		blankSyntaxError(work, lineStart(work, offsetOf(work, position{line, 1})))
	}
}

// blankSyntaxError blanks the line that starts at the offset. If it is a table header,
// the text up to the next table is blanked as well; if the line is already blank, the
// rest of the file.
func blankSyntaxError(work []byte, start int) {
	end := nextLine(work, start)
	line := bytes.TrimSpace(work[start:end])
	switch {
	case len(line) == 0:
		end = len(work)
	case line[0] == '[':
		for end < len(work) && work[end] != '[' {
			end = nextLine(work, end)
		}
	}
	blank(work[start:end])
}

// nextLine returns the offset of the line after the one that contains the offset.
func nextLine(work []byte, offset int) int {
	if i := bytes.IndexByte(work[offset:], '\n'); i >= 0 {
		return offset + i + 1
	}
	return len(work)
}

func blank(b []byte) {
	for i := range b {
		if b[i] != '\n' {
			b[i] = ' '
		}
	}
}

// blankValue adds a finding for a value that can't be decoded and blanks the value. It
// returns false if the value can't be located.
func (d *Document) blankValue(work []byte, decodeErr *toml.DecodeError) bool {
	line, column := decodeErr.Position()
	s, ok := d.index.innermostSpan(offsetOf(work, position{line, column}))
	key := d.index.keyAt(position{line, column}, s.key)
	d.findings = append(d.findings, Finding{
		File: d.file, Line: line, Column: column, Key: key, Message: userMessage(decodeErr.Error()),
	})
	if !ok {
		return false
	}
	blank(work[s.start:s.end])
	return true
}

func (d *Document) addUnknownKeys(err *toml.StrictMissingError) {
	for i := range err.Errors {
		e := &err.Errors[i]
		line, column := e.Position()
		d.findings = append(d.findings, Finding{
			File: d.file, Line: line, Column: column, Key: join(e.Key()), Message: "unknown key",
		})
	}
}

func (d *Document) addError(err error) {
	d.findings = append(d.findings, Finding{File: d.file, Message: userMessage(err.Error())})
}

var typeMismatch = regexp.MustCompile(`^cannot decode TOML (.+) into .* of type (.+)$`)

// userMessage rewrites a decoder message in terms of TOML instead of Go types.
func userMessage(message string) string {
	message = strings.TrimPrefix(message, "toml: ")
	if m := typeMismatch.FindStringSubmatch(message); m != nil {
		return fmt.Sprintf("must be %s, not %s", typeName(m[2]), withArticle(m[1]))
	}
	return message
}

func typeName(goType string) string {
	switch {
	case strings.HasPrefix(goType, "int"), strings.HasPrefix(goType, "uint"):
		return "an integer"
	case strings.HasPrefix(goType, "float"):
		return "a number"
	case goType == "bool":
		return "true or false"
	case goType == "string":
		return "a string"
	case strings.HasPrefix(goType, "[]"):
		return "an array"
	default:
		return "a table"
	}
}

func withArticle(noun string) string {
	if strings.ContainsRune("aeiou", rune(noun[0])) {
		return "an " + noun
	}
	return "a " + noun
}
