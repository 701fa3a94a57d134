package soak

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/platform/standin"
)

// process is one daemon started by the soak test.
type process struct {
	node     standin.NodeFile
	program  string
	nodeFile string
	logFile  string
	// args returns further arguments of the program of a build; nil for none.
	args func(Build) []string

	mu sync.Mutex
	// build is that of the next start.
	build Build
	cmd   *exec.Cmd
	// exitError is the result of the current OS process, which is valid once ended is
	// closed.
	exitError error
	// starts holds all starts; the last one is that of the current OS process.
	starts []processStart
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
	offset, err := out.Seek(0, io.SeekEnd)
	if err != nil {
		return errors.Wrap(err, "finding the end of the log")
	}
	build := p.buildOfStart()
	binary, args := filepath.Join(build.Dir, p.program), []string{"--node-file", p.nodeFile}
	if p.args != nil {
		args = append(args, p.args(build)...)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "starting "+binary)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.starts = append(p.starts, processStart{time.Now(), p.build.Name, offset})
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

// address returns the IPv4 address of the daemon.
func (p *process) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.IP
}

// move gives the next start another address.
func (p *process) move(ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.IP = ip
}

// setBuild sets the build of the next start.
func (p *process) setBuild(b Build) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.build = b
}

// buildOfStart returns the build of the next start, or of the current OS process if none
// has been set since.
func (p *process) buildOfStart() Build {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.build
}

// currentBuild returns the name of the build.
func (p *process) currentBuild() string { return p.buildOfStart().Name }

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

// hasStarted reports whether the current OS process has logged that it serves. A signal
// that comes before the first line of the program ends it.
func (p *process) hasStarted() bool {
	p.mu.Lock()
	offset := p.starts[len(p.starts)-1].logOffset
	p.mu.Unlock()
	content, err := os.ReadFile(p.logFile)
	return err == nil && int64(len(content)) > offset && bytes.Contains(content[offset:], []byte("event=process.started"))
}

// hangUp sends SIGHUP. A process that it ends before it has started is started again,
// as the platform does.
func (p *process) hangUp() error {
	p.signal(syscall.SIGHUP)
	if p.hasStarted() || !p.waitFor(earlyEndTimeout) || p.hasStarted() {
		return nil
	}
	if err := p.exitStatus(); err == nil || err.Error() != "signal: hangup" {
		return nil
	}
	return p.start()
}

// earlyEndTimeout is how long a process takes to end by a signal at its start.
const earlyEndTimeout = 300 * time.Millisecond

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
