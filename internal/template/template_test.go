package template

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/settings"
)

// TestDocuments guards against errors in a template file that are accepted, not
// reported, or reported at the wrong line, column or key, and against unsafe
// defaults.
func TestDocuments(t *testing.T) {
	datadriven.RunTest(t, "testdata/documents", func(t *testing.T, d *datadriven.TestData) string {
		doc, err := Parse("t.toml", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		var b strings.Builder
		fmt.Fprintf(&b, "%s weight %v\n", doc.Workspace, doc.Weight)
		for _, m := range doc.Templates {
			fmt.Fprintf(&b, "%+v\n", m)
		}
		return b.String()
	})
}

// TestDocumentedExamples guards against invalid examples in the documentation.
func TestDocumentedExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(page), "```toml\n")
	if len(blocks) != 3 {
		t.Fatalf("%d examples", len(blocks)-1)
	}
	entry, _, _ := strings.Cut(blocks[1], "```")
	if _, err := settings.Parse("entry.toml", []byte(entry)); err != nil {
		t.Error(err)
	}
	templates, _, _ := strings.Cut(blocks[2], "```")
	if _, err := Parse("kalnins.toml", []byte(templates)); err != nil {
		t.Error(err)
	}
}

// TestSizeLimits guards against documents that are too large for the store.
func TestSizeLimits(t *testing.T) {
	var findings settings.Findings
	big := "workspace = \"a\"\n#" + strings.Repeat("x", MaxSourceBytes)
	if _, err := Parse("f", []byte(big)); !errors.As(err, &findings) {
		t.Fatalf("large file: got %v", err)
	}
	var many strings.Builder
	many.WriteString("workspace = \"a\"\n")
	for i := range MaxTemplates + 1 {
		fmt.Fprintf(&many, "[template.t%d]\nkind = \"request\"\nservice = \"s\"\n", i)
	}
	if _, err := Parse("f", []byte(many.String())); !errors.As(err, &findings) || findings[0].Key != "template" {
		t.Fatalf("many templates: got %v", err)
	}
}

// TestAcceptedTemplatesAreSafe guards against combinations of parameters that are
// accepted although they break an invariant: a retry of non-idempotent work, a
// share above 1, or work that can never be placed.
func TestAcceptedTemplatesAreSafe(t *testing.T) {
	values := map[string][]string{
		"kind":           {`"request"`, `"job"`, `"gang"`, `"service"`, `"x"`},
		"service":        {`"orders"`, `"A"`, `1`},
		"urgency":        {"-1", "0", "9", "10"},
		"idempotent":     {"true", "false"},
		"retry_limit":    {"0", "1", "11"},
		"flood_share":    {"0", "0.3", "1", "1.1", "nan", "inf"},
		"reserve":        {"0", "0.3", "0.9", "-0.1", "nan"},
		"tasks":          {"0", "1", "2", "99999"},
		"cores_milli":    {"0", "500", "9223372036854775807"},
		"memory_mb":      {"0", "64"},
		"max_body_bytes": {"0", "65536", "65537", "99999999"},
		"run_limit":      {`"0s"`, `"1s"`, `"900000h"`, `"-1s"`},
		"store_down":     {`"refuse"`, `"run_once"`, `"run"`},
	}
	bases := []map[string]string{
		{"kind": `"request"`, "service": `"orders"`},
		{"kind": `"job"`, "cores_milli": "1", "memory_mb": "1"},
		{"kind": `"gang"`, "cores_milli": "1", "memory_mb": "1", "tasks": "3"},
		{"kind": `"service"`, "cores_milli": "1", "memory_mb": "1"},
	}
	names := slices.Sorted(maps.Keys(values))
	accepted, drawn := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		drawn++
		params := maps.Clone(rapid.SampledFrom(bases).Draw(t, "base"))
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			params[name] = rapid.SampledFrom(values[name]).Draw(t, "value")
		}
		var b strings.Builder
		b.WriteString("workspace = \"a\"\n[template.t]\n")
		for _, name := range slices.Sorted(maps.Keys(params)) {
			fmt.Fprintf(&b, "%s = %s\n", name, params[name])
		}
		doc, err := Parse("f", []byte(b.String()))
		if err != nil {
			return
		}
		accepted++
		m := doc.Templates[0]
		if !m.Idempotent && m.RetryLimit > 0 ||
			m.Resources.IsZero() || m.Tasks < 1 || m.Kind == model.KindGang && m.Tasks < 2 ||
			!(m.FloodShare > 0 && m.FloodShare <= 1) || !(m.Reserve >= 0 && m.Reserve <= m.FloodShare) ||
			m.StoreDown != model.StoreDownRefuse || m.MaxWait <= 0 ||
			m.Kind != model.KindRequest && m.MaxBodyBytes > MaxTaskBodyBytes ||
			(m.Kind == model.KindRequest) != (m.Service != "") ||
			(m.Kind == model.KindService) != (m.RunLimit == 0) {
			t.Fatalf("accepted\n%sas %+v", b.String(), m)
		}
	})
	if accepted < drawn/10 {
		t.Fatalf("only %d of %d files were accepted, too few to test", accepted, drawn)
	}
}
