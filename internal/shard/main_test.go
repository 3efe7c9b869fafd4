package shard

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidDefaults makes rapid runs reproducible and long enough to reach several changes of the
// owner. Command-line flags override them.
var rapidDefaults = map[string]string{"rapid.seed": "20261203", "rapid.checks": "500", "rapid.steps": "120"}

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range rapidDefaults {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	fmt.Printf("rapid.seed=%s\n", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
