// Package freeport allocates loopback addresses for processes that tests and the
// benchmark start.
package freeport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"
)

// The ports are below the kernel's ephemeral port range, so that no outgoing connection can take a port between its
// allocation here and the start of the process.
const (
	firstPort = 10_000
	lastPort  = 32_000
	// blockSize is the number of ports that one process reserves. A test uses far fewer at a time.
	blockSize = 500
)

var errNoPort = errors.New("no free port")

// block is the port block of this process. A lock on its file keeps other processes of the project from using it.
var block struct {
	sync.Mutex
	file  *os.File
	first int
	next  int
}

// Address returns a loopback address that nothing listens on. It is not returned again, to this or another process, until
// this process has used its whole block or has ended.
func Address() (string, error) {
	block.Lock()
	defer block.Unlock()
	if block.file == nil {
		if err := lockBlock(); err != nil {
			return "", err
		}
	}
	for range blockSize {
		address := fmt.Sprintf("127.0.0.1:%d", block.first+block.next)
		block.next = (block.next + 1) % blockSize
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", err
		}
		return address, nil
	}
	return "", errNoPort
}

func lockBlock() error {
	blocks := (lastPort - firstPort) / blockSize
	for i := range blocks {
		n := (os.Getpid() + i) % blocks
		file, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("agateyard-ports-%d.lock", n)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return err
		}
		if unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil {
			block.file, block.first = file, firstPort+n*blockSize
			return nil
		}
		if err := file.Close(); err != nil {
			return err
		}
	}
	return errNoPort
}
