package shard

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed makes the runs of rapid reproducible; -rapid.seed overrides it.
const defaultSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set(defaultSeed)
	}
	fmt.Printf("rapid.seed=%s\n", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
