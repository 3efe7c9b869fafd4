// Package testseed fixes the seed of property-based tests, so that every CI run
// gives the same result.
package testseed

import (
	"flag"
	"fmt"
)

// seed is the default for the flag -rapid.seed.
const seed = "20261203"

// Rapid parses the flags, sets the seed of rapid unless the flag gives one, and prints
// it. Call it from TestMain in packages that use rapid; it panics in others.
func Rapid() {
	flag.Parse()
	f := flag.Lookup("rapid.seed")
	if f == nil {
		panic("rapid is not linked into this test")
	}
	if f.Value.String() == "0" {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	fmt.Println("rapid.seed", f.Value)
}
