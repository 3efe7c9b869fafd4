package journal

import (
	"os"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Rapid()
	logrus.SetLevel(logrus.ErrorLevel)
	os.Exit(m.Run())
}
