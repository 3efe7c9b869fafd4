package e2e

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// proc is a process that a test started.
type proc struct {
	t    *testing.T
	name string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// start runs a binary and ends it with the test at the latest.
func start(t *testing.T, dir, name, binary string, args ...string) *proc {
	t.Helper()
	p := &proc{t: t, name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(binDir, binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if data, err := os.ReadFile(p.log); err == nil && bytes.Contains(data, []byte("DATA RACE")) {
			t.Errorf("%s: data race:\n%s", p.name, data)
		}
	})
	return p
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process without any warning.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze stops the process where it stands; thaw lets it go on.
func (p *proc) freeze() { p.signal(syscall.SIGSTOP) }
func (p *proc) thaw()   { p.signal(syscall.SIGCONT) }

// terminate asks for an orderly stop and waits for it.
func (p *proc) terminate(limit time.Duration) error {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		p.t.Fatalf("%s did not stop within %v", p.name, limit)
		return nil
	}
}
