package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCheckConfig guards against findings about tenants that are not listed or don't end the command with an error, and
// against keys in its output.
func TestCheckConfig(t *testing.T) {
	for name, c := range map[string]struct {
		config string
		lines  []string
		failed bool
	}{
		"sound": {config: `{"version":3,"tenants":[{"name":"a","api-keys":["secret-1"],"weight":1}]}`, lines: []string{"configuration 3: 1 tenants, ok"}},
		"all kinds": {
			config: `{"version":3,"tenants":[{"name":"","api-keys":[]},{"name":"a","api-keys":["secret-1",""]},` +
				`{"name":"b","api-keys":["secret-1"],"weight":-1,"cap":{"cpu":-1,"gpu":-2}},{"name":"a"}]}`,
			lines: []string{
				"tenants[0].name: ", "tenants[1].api-keys[1]: ", "tenants[2].weight: ", "tenants[2].cap.cpu: ", "tenants[2].cap.gpu: ",
				"tenants[2].api-keys[0]: ", "tenants[3].name: ",
			},
			failed: true,
		},
		"malformed": {config: `{"tenants":[{"api-keys":"secret-1"}]}`, failed: true},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(c.config), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		command := checkCommand()
		command.SetOut(&out)
		command.SetErr(&out)
		command.SetArgs([]string{"--config", path})
		err := command.Execute()
		if (err != nil) != c.failed {
			t.Errorf("%s: error %v", name, err)
		}
		if strings.Contains(out.String(), "secret") || err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: a key is printed: %s %v", name, out.String(), err)
		}
		for _, line := range c.lines {
			if !strings.Contains("\n"+out.String(), "\n"+line) {
				t.Errorf("%s: no line %q in\n%s", name, line, out.String())
			}
		}
	}
}
