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

// process is one daemon that the soak started.
type process struct {
	node   standin.NodeFile
	binary string
	file   string
	log    string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the present process has ended.
	ended chan struct{}
}

func (p *process) start() error {
	if err := p.node.Write(p.file); err != nil {
		return err
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening log")
	}
	defer out.Close()
	cmd := exec.Command(p.binary, "--node-file", p.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "starting "+p.binary)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		// The exit status of a killed process says nothing new.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that the soak started, if it still runs.
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

// wait reports whether the process ended within a time.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}
