package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/platform/standin"
)

// process is one daemon started by the soak test.
type process struct {
	node     standin.NodeFile
	binary   string
	nodeFile string
	logFile  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exitError is the result of the current OS process, which is valid once ended is
	// closed.
	exitError error
	// ended is closed when the current OS process has exited.
	ended chan struct{}
}

func (p *process) start() error {
	if err := p.node.Write(p.nodeFile); err != nil {
		return err
	}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening log")
	}
	defer out.Close()
	cmd := exec.Command(p.binary, "--node-file", p.nodeFile)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "starting "+p.binary)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.exitError = err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if it is still running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// waitFor reports whether the process exited within the timeout.
func (p *process) waitFor(timeout time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// exitStatus returns the error of a process that has exited with another status than 0
// or was ended by a signal.
func (p *process) exitStatus() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitError
}

// kill sends SIGKILL and waits up to 5 s for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.waitFor(5 * time.Second)
}
