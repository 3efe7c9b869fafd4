package freeport

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
)

const childVariable = "AGATEYARD_FREEPORT_DRAW"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		for range 200 {
			address, err := Address()
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			fmt.Println(address)
		}
		_, _ = os.Stdin.Read(make([]byte, 1)) // holds the block until the parent closes stdin
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Guards against an address that is allocated twice, by one process or by concurrent processes such as the tests of two
// packages.
func TestAddressesAreUnique(t *testing.T) {
	const processes = 4
	type child struct {
		cmd  *exec.Cmd
		out  bytes.Buffer
		quit func() error
	}
	children := make([]*child, processes)
	for i := range children {
		d := &child{cmd: exec.Command(os.Args[0])}
		d.cmd.Env = append(os.Environ(), childVariable+"=1")
		d.cmd.Stdout = &d.out
		d.cmd.Stderr = os.Stderr
		stdin, err := d.cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		d.quit = stdin.Close
		if err := d.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		children[i] = d
	}
	seen := map[string]int{}
	for range 200 {
		address, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		seen[address]++
	}
	for _, d := range children {
		if err := d.quit(); err != nil {
			t.Error(err)
		}
		if err := d.cmd.Wait(); err != nil {
			t.Fatal(err)
		}
		for _, address := range strings.Fields(d.out.String()) {
			seen[address]++
		}
	}
	if want := 200 * (processes + 1); len(seen) != want {
		t.Errorf("%d different addresses, want %d", len(seen), want)
	}
}
