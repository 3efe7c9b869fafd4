package settings

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFindings bounds the faults that are looked for in one file, as each costs
// another pass over it.
const maxFindings = 100

// Document is a decoded TOML file with the places of its keys and its faults.
type Document struct {
	file     string
	ix       index
	partial  bool // parts that are not TOML were left out
	findings Findings
}

// Decode decodes the TOML text into the struct that into points to. A key that
// the struct does not have is a fault. Decoding goes on past a fault, so that
// one call finds all of them; the struct then lacks the faulty values.
func Decode(file string, src []byte, into any) *Document {
	d := &Document{file: file}
	work := bytes.Clone(src)
	d.dropSyntaxErrors(work)
	for len(d.findings) < maxFindings {
		dec := toml.NewDecoder(bytes.NewReader(work))
		dec.DisallowUnknownFields()
		err := dec.Decode(into)
		var unknown *toml.StrictMissingError // wraps decode errors, so it is looked for first
		var fault *toml.DecodeError
		switch {
		case err == nil:
			return d
		case errors.As(err, &unknown):
			d.addUnknown(unknown)
			return d
		case !errors.As(err, &fault):
			d.addPlain(err)
			return d
		}
		if !d.dropValue(work, fault) {
			return d
		}
	}
	return d
}

// Has reports whether the file sets the key, be it to a faulty value.
func (d *Document) Has(key string) bool {
	_, ok := d.ix.places[key]
	return ok
}

// Complete reports whether the whole file could be read, so that a missing key
// is a fault of its own.
func (d *Document) Complete() bool { return !d.partial }

// Report adds a finding at the key, or at the nearest table around it where the
// file does not set the key. A key that already has a finding gets no second one.
func (d *Document) Report(key, format string, args ...any) {
	for _, f := range d.findings {
		if f.Key == key {
			return
		}
	}
	at := d.nearest(key)
	d.findings = append(d.findings, Finding{
		File: d.file, Line: at.line, Column: at.column, Key: key, Message: fmt.Sprintf(format, args...),
	})
}

// Err returns the findings in order of their position as an error of type
// Findings, or nil.
func (d *Document) Err() error {
	if len(d.findings) == 0 {
		return nil
	}
	d.findings.sort()
	return d.findings
}

func (d *Document) nearest(key string) place {
	for {
		if at, ok := d.ix.places[key]; ok {
			return at
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			return place{line: 1, column: 1}
		}
		key = key[:cut]
	}
}

// dropSyntaxErrors blanks the parts that are not TOML, so that the rest can be
// checked: the line of the error, or the whole table of a broken table header,
// since its keys would count for another table.
func (d *Document) dropSyntaxErrors(work []byte) {
	for {
		d.ix = newIndex(work)
		if d.ix.err == nil {
			return
		}
		d.partial = true
		var fault *toml.DecodeError
		if !errors.As(toml.Unmarshal(work, &map[string]any{}), &fault) || len(d.findings) >= maxFindings {
			d.addPlain(d.ix.err)
			blank(work)
			continue
		}
		line, column := fault.Position()
		d.findings = append(d.findings, Finding{File: d.file, Line: line, Column: column, Message: plain(fault.Error())})
		blankFault(work, lineStart(work, offsetOf(work, place{line, 1})))
	}
}

// blankFault blanks the line that starts at the offset, up to the next table
// where it is a table header, and up to the end where it is blank already.
func blankFault(work []byte, start int) {
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

// nextLine returns the offset after the line of the offset.
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

// dropValue records a value that does not decode and blanks it.
func (d *Document) dropValue(work []byte, fault *toml.DecodeError) bool {
	line, column := fault.Position()
	s, ok := d.ix.find(offsetOf(work, place{line, column}))
	key := d.ix.keyAt(place{line, column}, s.key)
	d.findings = append(d.findings, Finding{
		File: d.file, Line: line, Column: column, Key: key, Message: plain(fault.Error()),
	})
	if !ok {
		return false
	}
	blank(work[s.start:s.end])
	return true
}

func (d *Document) addUnknown(err *toml.StrictMissingError) {
	for i := range err.Errors {
		e := &err.Errors[i]
		line, column := e.Position()
		d.findings = append(d.findings, Finding{
			File: d.file, Line: line, Column: column, Key: join(e.Key()), Message: "unknown key",
		})
	}
}

func (d *Document) addPlain(err error) {
	d.findings = append(d.findings, Finding{File: d.file, Message: plain(err.Error())})
}

var mismatch = regexp.MustCompile(`^cannot decode TOML (.+) into .* of type (.+)$`)

// plain words the decoder's message in terms of the file instead of Go types.
func plain(message string) string {
	message = strings.TrimPrefix(message, "toml: ")
	if m := mismatch.FindStringSubmatch(message); m != nil {
		return fmt.Sprintf("must be %s, not %s", typeName(m[2]), article(m[1]))
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

func article(noun string) string {
	if strings.ContainsRune("aeiou", rune(noun[0])) {
		return "an " + noun
	}
	return "a " + noun
}
