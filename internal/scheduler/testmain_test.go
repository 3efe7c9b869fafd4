package scheduler

import (
	"os"
	"testing"

	"github.com/agateyard/agateyard/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Rapid()
	os.Exit(m.Run())
}
