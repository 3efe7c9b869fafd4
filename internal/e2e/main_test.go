package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binDir is the directory with the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "agateyard-e2e")
	if err != nil {
		panic(err)
	}
	binDir = dir
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv("AGATEYARD_E2E_RACE") != "" {
		args = append(args, "-race")
	}
	args = append(args, "../../cmd/agateyard-entry", "../../cmd/agateyard-standin")
	build := exec.Command("go", args...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("build failed: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
