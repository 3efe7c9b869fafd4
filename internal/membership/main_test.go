package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
)

// testSeed starts rapid unless -rapid.seed is given.
const testSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", testSeed); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid.seed:", flag.Lookup("rapid.seed").Value)
	logrus.SetLevel(logrus.ErrorLevel)
	os.Exit(m.Run())
}
