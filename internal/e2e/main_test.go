package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binDir holds the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "agateyard-e2e")
	if err != nil {
		panic(err)
	}
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/agateyard-entry", "../../cmd/agateyard-standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("build failed: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
