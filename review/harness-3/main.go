//go:build review

// Command review-harness-3 runs the scripts of the third review. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(d *deployment, trouble bool) error{
	"failing": failingLasting,
	"silent":  silentConnections,
	"array":   manyOccurrences,
	"late":    lateOrders,
	"attempt": lastAttempt,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-harness-3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d, err := newDeployment(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	err = play(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		d.rec.logf("the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		d.rec.logf("%s", err)
		fmt.Println(err)
		return 1
	default:
		d.rec.logf("the case couldn't run: %s", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	}
}
