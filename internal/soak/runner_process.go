package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/platform/standin"
)

// runnerProcess is a runner that is a process of its own, of the program that runs the
// soak test.
type runnerProcess struct {
	cmd      *exec.Cmd
	commands io.WriteCloser

	mu sync.Mutex
	// running holds the requests in progress. It is nil once the process has ended.
	running map[string]standin.Run
	// ended is closed when the process has ended and its events were read.
	ended chan struct{}
}

// startRunnerProcess starts the process that serves a runner's requests at l.
func (s *system) startRunnerProcess(r *proxiedRunner, l net.Listener) error {
	r.Begin()
	settings, err := json.Marshal(standin.ProcessSettings{
		ID: r.ID, Version: r.Version, Service: r.Service, Stage: r.Stage, ServiceTime: r.ServiceTime, Events: r.Events, Weights: r.Weights(), StartMs: r.StartMs, Statements: r.Statements,
	})
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "finding the program")
	}
	listener, err := l.(*net.TCPListener).File()
	if err != nil {
		return errors.Wrap(err, "passing on the listener")
	}
	// The process has its own copy, which is the last one when it ends.
	defer l.Close()
	defer listener.Close()
	p := &runnerProcess{cmd: exec.Command(program), running: map[string]standin.Run{}, ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), standin.ProcessVariable+"="+string(settings))
	p.cmd.ExtraFiles = []*os.File{listener}
	p.cmd.Stderr = os.Stderr
	if p.commands, err = p.cmd.StdinPipe(); err != nil {
		return errors.Wrap(err, "starting a runner")
	}
	events, err := p.cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "starting a runner")
	}
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "starting a runner")
	}
	r.process = p
	go func() {
		defer close(p.ended)
		s.readEvents(p, events)
		_ = p.cmd.Wait()
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	p.setFaults(s.answerFaults)
	return nil
}

// readEvents records the requests of a runner process until it ends.
func (s *system) readEvents(p *runnerProcess, events io.Reader) {
	decoder := json.NewDecoder(events)
	for {
		var e standin.ProcessEvent
		if err := decoder.Decode(&e); err != nil {
			p.mu.Lock()
			for _, run := range p.running {
				run.EndedAt, run.BrokeOff = time.Now(), true
				s.lostCheck.runEnded(run)
			}
			p.running = nil
			p.mu.Unlock()
			return
		}
		switch e.Kind {
		case standin.RequestArrived:
			s.requestArrived(e.Run)
		case standin.RequestStarted:
			s.check.requestRan(e.Run)
			p.mu.Lock()
			p.running[e.Run.ID] = e.Run
			p.mu.Unlock()
		case standin.RequestEnded:
			s.lostCheck.runEnded(e.Run)
			p.mu.Lock()
			delete(p.running, e.Run.ID)
			p.mu.Unlock()
		case standin.RequestOtherCache:
			s.check.otherCacheUsed(e.Run, e.Handle)
		case standin.RequestForeign:
			s.check.report("unasked: request %s reached runner %s with bytes that are not its body", e.Run.ID, e.Run.Runner)
		}
	}
}

// command sends a command to the process. A process that has ended obeys none.
func (p *runnerProcess) command(format string, args ...any) {
	_, _ = fmt.Fprintf(p.commands, format+"\n", args...)
}

func (p *runnerProcess) setFaults(faults []standin.WireFault) {
	var names []string
	for _, f := range faults {
		names = append(names, string(f))
	}
	p.command("%s %s", standin.CommandFaults, strings.Join(names, ","))
}

// setAnswerFault sets or ends a fault of the answers of all runners.
func (s *system) setAnswerFault(fault standin.WireFault, set bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerFaults = slices.DeleteFunc(s.answerFaults, func(f standin.WireFault) bool { return f == fault })
	if set {
		s.answerFaults = append(s.answerFaults, fault)
	}
	for _, r := range s.runners {
		r.process.setFaults(s.answerFaults)
	}
}

// Stop ends the runner as a crash does.
func (r *proxiedRunner) Stop() {
	if r.process == nil {
		r.Runner.Stop()
		return
	}
	r.proxy.targetKilled.Store(true)
	_ = r.process.cmd.Process.Kill()
	<-r.process.ended
}

// SetLeaving makes the runner say in all its answers that it leaves.
func (r *proxiedRunner) SetLeaving() {
	r.Runner.SetLeaving()
	if r.process != nil {
		r.process.command(standin.CommandLeave)
	}
}

// SetWeights changes the weights, also of runs in progress.
func (r *proxiedRunner) SetWeights(version int) {
	r.Runner.SetWeights(version)
	if r.process != nil {
		r.process.command("%s %d", standin.CommandWeights, version)
	}
}

// SetStartsAnew makes the runner begin each stream with its first event.
func (r *proxiedRunner) SetStartsAnew(on bool) {
	r.Runner.SetStartsAnew(on)
	switch {
	case r.process == nil:
	case on:
		r.process.command(standin.CommandStartAnew)
	default:
		r.process.command(standin.CommandStartAfter)
	}
}

// Running returns the number of requests in progress.
func (r *proxiedRunner) Running() int {
	if r.process == nil {
		return r.Runner.Running()
	}
	r.process.mu.Lock()
	defer r.process.mu.Unlock()
	return len(r.process.running)
}
