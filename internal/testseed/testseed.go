// Package testseed fixes the seed of random tests, so that every run of CI gives
// the same verdict.
package testseed

import (
	"flag"
	"fmt"
)

// seed is used unless -rapid.seed is given.
const seed = "20261203"

// Rapid parses the flags, fixes the seed of rapid and prints it. It is for
// TestMain of packages that use rapid, and panics in others.
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
