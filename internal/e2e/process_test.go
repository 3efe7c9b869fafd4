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

// process is a child process of a test.
type process struct {
	t       *testing.T
	name    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{}
	waitErr error
}

// start starts a binary. The process is killed at the end of the test if it still
// runs.
func start(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, logPath: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(binDir, binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.waitErr = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if data, err := os.ReadFile(p.logPath); err == nil && bytes.Contains(data, []byte("DATA RACE")) {
			t.Errorf("%s: data race:\n%s", p.name, data)
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// pause suspends the process; resume continues it.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// terminate sends SIGTERM for a graceful shutdown and waits for the process to exit.
func (p *process) terminate(limit time.Duration) error {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.waitErr
	case <-time.After(limit):
		p.t.Fatalf("%s did not stop within %v", p.name, limit)
		return nil
	}
}
