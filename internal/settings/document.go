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
	findings Findings
}

// Decode decodes the TOML text into the struct that into points to. A key that
// the struct does not have is a fault. Decoding goes on past a fault, so that
// one call finds all of them; the struct then lacks the faulty values.
func Decode(file string, src []byte, into any) *Document {
	d := &Document{file: file}
	work := bytes.Clone(src)
	if !d.dropSyntaxErrors(work) {
		return d
	}
	for len(d.findings) < maxFindings {
		dec := toml.NewDecoder(bytes.NewReader(work))
		dec.DisallowUnknownFields()
		err := dec.Decode(into)
		var fault *toml.DecodeError
		if !errors.As(err, &fault) {
			d.addUnknown(err)
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
func (d *Document) Complete() bool { return d.ix.err == nil }

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

// dropSyntaxErrors blanks the lines that are not TOML, so that the rest can be
// checked. It returns false where a table header is broken: the keys below it
// would count for another table.
func (d *Document) dropSyntaxErrors(work []byte) bool {
	for {
		d.ix = newIndex(work)
		if d.ix.err == nil {
			return true
		}
		var fault *toml.DecodeError
		if !errors.As(toml.Unmarshal(work, &map[string]any{}), &fault) || len(d.findings) >= maxFindings {
			d.addPlain(d.ix.err)
			return false
		}
		line, column := fault.Position()
		d.findings = append(d.findings, Finding{File: d.file, Line: line, Column: column, Message: plain(fault.Error())})
		start := lineStart(work, offsetOf(work, place{line, 1}))
		if !blankLine(work, start) {
			return false
		}
	}
}

// blankLine overwrites the line with spaces, unless it is a table header or
// blank already.
func blankLine(work []byte, start int) bool {
	end := start
	for end < len(work) && work[end] != '\n' {
		end++
	}
	line := bytes.TrimSpace(work[start:end])
	if len(line) == 0 || line[0] == '[' {
		return false
	}
	blank(work[start:end])
	return true
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
	f := Finding{File: d.file, Line: line, Column: column, Key: s.key, Message: plain(fault.Error())}
	d.findings = append(d.findings, f)
	if !ok {
		return false
	}
	blank(work[s.start:s.end])
	return true
}

func (d *Document) addUnknown(err error) {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		if err != nil {
			d.addPlain(err)
		}
		return
	}
	for i := range strict.Errors {
		e := &strict.Errors[i]
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
