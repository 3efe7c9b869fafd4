package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

const validSettings = `name = "entry-1"
zone = "zemgale-a"
http_address = "10.0.0.1:8080"
rpc_address = "10.0.0.1:8081"
platform_url = "http://10.0.0.9:2379"

[log]
level = "debug"
format = "json"

[stop]
drain_delay = "3s"
timeout = "30s"
`

// Guards against findings that are missing, are reported only one at a time or have the
// wrong line, column or key.
func TestFindings(t *testing.T) {
	datadriven.RunTest(t, "testdata/entry", func(t *testing.T, d *datadriven.TestData) string {
		e, err := Parse("entry.toml", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%+v\n", e)
	})
}

// Guards against a Load whose error does not unwrap to Findings, and against one that
// reports a missing file as an invalid one.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	if _, err := Load(path); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("missing file: got %v", err)
	}
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	e, err := Load(path)
	if err != nil || e.Name != "entry-1" || e.Limits.JournalBodyBytes != 65536 {
		t.Fatalf("got %+v, %v", e, err)
	}
	if err := os.WriteFile(path, []byte("zone = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	var findings Findings
	if _, err := Load(path); !errors.As(err, &findings) || len(findings) != 5 || findings[0].File != path {
		t.Fatalf("invalid file: got %v", err)
	}
}

// Guards against a panic, an endless loop, findings out of order or outside the file,
// and a corrupted file that is accepted although required values are missing.
func TestDamagedFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := []byte(validSettings)
		for range rapid.IntRange(1, 6).Draw(t, "edits") {
			at := rapid.IntRange(0, len(src)-1).Draw(t, "at")
			src[at] = rapid.SampledFrom([]byte("[]{}\"'=.,#\n\\ 5x\x00\xff")).Draw(t, "byte")
		}
		e, err := Parse("f", src)
		var findings Findings
		if err == nil {
			if !ValidName(e.Name) || !ValidName(e.Zone) || e.HTTPAddress == "" || e.RPCAddress == "" {
				t.Fatalf("accepted %q as %+v", src, e)
			}
			return
		}
		if !errors.As(err, &findings) {
			t.Fatalf("error of type %T", err)
		}
		lines := strings.Count(string(src), "\n") + 1
		last := 0
		for _, f := range findings {
			if f.Line < last || f.Line > lines || f.Message == "" {
				t.Fatalf("finding %+v of %q", f, src)
			}
			last = f.Line
		}
	})
}
