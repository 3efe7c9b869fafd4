package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/agateyard/agateyard/internal/gateway"
)

const firstSource = `workspace = "kalnins"

[template.cut-list]
kind = "request"
service = "orders"
urgency = 9
`

// run runs agateyardctl against the server.
func (s *testServer) run(t *testing.T, stdin string, args ...string) (ExitCode, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	args = append([]string{"--server", s.URL}, args...)
	code := Run(t.Context(), args, strings.NewReader(stdin), &out, &errOut)
	return code, out.String(), errOut.String()
}

func expectResult(t *testing.T, name string, code, want ExitCode, text string, parts ...string) {
	t.Helper()
	if code != want {
		t.Errorf("%s: exit code %d, want %d: %s", name, code, want, text)
	}
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%s: %q is missing in %q", name, part, text)
		}
	}
}

// Guards against errors of several files that are reported only one at a time or
// without a position, and against an exit code of success for them.
func TestValidate(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.toml"), filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(good, []byte(firstSource), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(bad, []byte("workspace = 3\nweight = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := newTestServer(t)
	code, out, _ := s.run(t, "", "template", "validate", good)
	expectResult(t, "good", code, ExitOK, out, "valid")
	code, _, errOut := s.run(t, "[template.x]\nkind = 4", "template", "validate", good, bad, "-")
	expectResult(t, "bad", code, ExitInvalid, errOut, bad+":1:13: workspace: ", bad+":2:10: weight: ", "-:2:8: template.x.kind: ", "4 faults")
	code, out, _ = s.run(t, "", "-o", "json", "template", "validate", bad)
	var result validationResult
	if err := json.Unmarshal([]byte(out), &result); err != nil || code != ExitInvalid || len(result.Findings) != 2 || result.Valid {
		t.Errorf("json: %d, %v, %s", code, err, out)
	}
	code, _, errOut = s.run(t, "", "template", "validate", filepath.Join(dir, "absent"))
	expectResult(t, "absent", code, ExitUsage, errOut, "absent")
}

// Guards against overwriting the change of another operator, and against a conflict
// message that lacks the revision in force or the difference from it.
func TestApplyAndConflict(t *testing.T) {
	s := newTestServer(t)
	code, out, errOut := s.run(t, firstSource, "template", "apply", "-", "--author", "ilze", "--note", "start", "--wait")
	expectResult(t, "first", code, ExitOK, out+errOut, "workspace/kalnins  1", "yes")
	second := strings.Replace(firstSource, "urgency = 9", "urgency = 8", 1)
	code, out, errOut = s.run(t, second, "template", "apply", "-", "--author", "ilze")
	expectResult(t, "second", code, ExitOK, out+errOut, "workspace/kalnins  2", "not waited for")
	code, _, errOut = s.run(t, firstSource, "template", "apply", "-", "--author", "janis", "--if-revision", "1")
	expectResult(t, "loser", code, ExitConflict, errOut, "revision in force: 2, by ilze", "-urgency = 8\n+urgency = 9\n")
	code, out, errOut = s.run(t, "", "template", "get", "kalnins")
	expectResult(t, "get", code, ExitOK, out+errOut, second)
	code, out, errOut = s.run(t, "", "template", "list")
	expectResult(t, "list", code, ExitOK, out+errOut, "kalnins    2         cut-list  request  8")
	code, out, errOut = s.run(t, "", "template", "history", "kalnins")
	expectResult(t, "history", code, ExitOK, out+errOut, "start")
	code, _, errOut = s.run(t, "workspace = \"kalnins\"\nx = 1\n[template.a]\n", "template", "apply", "-")
	expectResult(t, "faulty", code, ExitInvalid, errOut, "-:2:1: x: unknown key", "-:3:11: template.a.kind: is required")
}

// Guards against a change that is applied twice or reported as failed if the response
// of the server is lost.
func TestLostResponses(t *testing.T) {
	s := newTestServer(t)
	s.dropResponses = 2
	code, out, errOut := s.run(t, firstSource, "template", "apply", "-", "--author", "ilze")
	expectResult(t, "lost twice", code, ExitOK, out+errOut, "workspace/kalnins  1")

	s.dropResponses = 1000
	second := strings.Replace(firstSource, "urgency = 9", "urgency = 8", 1)
	code, _, errOut = s.run(t, second, "--timeout", "500ms", "template", "apply", "-", "--author", "ilze")
	expectResult(t, "always lost", code, ExitUncertain, errOut, "--change", "--if-revision 1")
	s.mu.Lock()
	s.dropResponses = 0
	s.mu.Unlock()
	flags := regexp.MustCompile(`--change \S+ --if-revision \d+`).FindString(errOut)
	args := append([]string{"template", "apply", "-", "--author", "ilze"}, strings.Fields(flags)...)
	code, out, errOut = s.run(t, second, args...)
	expectResult(t, "settled", code, ExitOK, out+errOut, "workspace/kalnins  2")
	if r := s.scheduler.cache.Revisions()["workspace/kalnins"]; r != 2 {
		t.Errorf("revision %d in force", r)
	}
	code, _, errOut = s.run(t, second, "template", "apply", "-", "--change", "x")
	expectResult(t, "change without revision", code, ExitUsage, errOut, "--if-revision")
}

// Guards against a drain that is lost because of a concurrent change by another
// operator.
func TestConcurrentDrains(t *testing.T) {
	s := newTestServer(t)
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			code, out, errOut := s.run(t, "", "drain", fmt.Sprintf("vm-%d", i), "--reason", "kernel", "--author", "ilze")
			if code != ExitOK {
				t.Errorf("drain %d: %d %s %s", i, code, out, errOut)
			}
		})
	}
	group.Wait()
	code, out, errOut := s.run(t, "", "undrain", "vm-0", "--author", "janis")
	expectResult(t, "undrain", code, ExitOK, out+errOut, "cell      7")
	code, out, errOut = s.run(t, "", "pause", "kalnins/cut-list", "--author", "janis")
	expectResult(t, "pause", code, ExitOK, out+errOut, "cell      8")
	code, out, _ = s.run(t, "", "-o", "json", "drains")
	var cell gateway.CellDocument
	if err := json.Unmarshal([]byte(out), &cell); err != nil || code != ExitOK || len(cell.Drained) != 5 || len(cell.Paused) != 1 {
		t.Errorf("got %s", out)
	}
	code, _, errOut = s.run(t, "", "drain", "vm-9")
	expectResult(t, "without reason", code, ExitUsage, errOut, "--reason")
	code, _, errOut = s.run(t, "", "pause", "kalnins")
	expectResult(t, "no template", code, ExitUsage, errOut, "workspace/template")
}

// Guards against a --wait that returns while a member lacks the revision, that never
// returns, or that reports an applied change as failed.
func TestWait(t *testing.T) {
	s := newTestServer(t)
	s.scheduler.lagging = true
	code, _, errOut := s.run(t, firstSource, "template", "apply", "-", "--author", "ilze", "--wait", "--wait-timeout", "400ms")
	expectResult(t, "lagging member", code, ExitWait, errOut, "revision 1 is applied", "missing at m2")
}

// Guards against wrong exit codes, on which scripts depend.
func TestExitCodes(t *testing.T) {
	s := newTestServer(t)
	tests := []struct {
		args []string
		want ExitCode
	}{
		{[]string{"status"}, ExitOK},
		{[]string{"jobs"}, ExitOK},
		{[]string{"timeline", "--request", "r"}, ExitOK},
		{[]string{"template", "history", "absent"}, ExitFailed},
		{[]string{"jobs", "--state", "lost"}, ExitFailed},
		{[]string{"unknown"}, ExitUsage},
		{[]string{"template", "unknown"}, ExitUsage},
		{[]string{"status", "--unknown"}, ExitUsage},
		{[]string{"status", "-o", "xml"}, ExitUsage},
		{[]string{"status", "extra"}, ExitUsage},
		{[]string{"drain"}, ExitUsage},
		{[]string{"--server", "ftp://x", "status"}, ExitUsage},
		{[]string{"--server", "http://127.0.0.1:1", "status"}, ExitUnavailable},
		{[]string{"--server", "127.0.0.1:1", "--timeout", "300ms", "drain", "vm", "--reason", "r"}, ExitUnavailable},
		{[]string{"--server", "127.0.0.1:1", "--timeout", "300ms", "drain", "vm", "--reason", "r", "--if-revision", "0"}, ExitUnavailable},
		// The timeout expires before the connection is established, as can happen on an
		// overloaded machine: nothing was sent.
		{[]string{"--server", "127.0.0.1:1", "--timeout", "1ns", "drain", "vm", "--reason", "r", "--if-revision", "0"}, ExitUnavailable},
	}
	for _, test := range tests {
		code, out, errOut := s.run(t, "", test.args...)
		if code != test.want {
			t.Errorf("%v: exit code %d, want %d\n%s%s", test.args, code, test.want, out, errOut)
		}
	}
	if _, out, _ := s.run(t, "", "jobs"); strings.Contains(out, "\x1b") {
		t.Errorf("control characters reach the terminal: %q", out)
	}
}
