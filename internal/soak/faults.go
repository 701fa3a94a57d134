package soak

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const contSignal = syscall.SIGCONT

// stopLimit is the time after SIGTERM in which a process must have ended, the
// platform's graceS.
const stopLimit = 8 * time.Second

// inject carries out one fault and returns when it is over.
func (s *system) inject(ctx context.Context, f fault) {
	if f.kind != stopEntry && f.kind != hangUp && f.kind != change && f.kind != race && f.kind != leaveRunner {
		s.check.faultBegins()
		defer s.check.faultEnds()
	}
	entry := s.entries[f.target%len(s.entries)]
	core := s.cores[f.target%len(s.cores)]
	switch f.kind {
	case killEntry:
		s.restart(ctx, entry, f.last, entry.kill)
	case stopEntry:
		s.stopGracefully(ctx, entry)
	case pauseEntry:
		s.pause(ctx, entry, f.last)
	case killCore:
		s.restart(ctx, core, f.last, core.kill)
	case stopCore:
		s.restart(ctx, core, f.last, func() { s.terminate(core) })
	case pauseCore:
		s.pause(ctx, core, f.last)
	case wipeCore:
		s.restart(ctx, core, f.last, func() {
			core.kill()
			_ = os.RemoveAll(filepath.Join(core.node.DataDir, "store"))
		})
	case killAll:
		for _, p := range s.cores {
			p.kill()
		}
		for _, p := range s.cores {
			s.restart(ctx, p, 0, func() {})
		}
	case hangUp:
		entry.signal(syscall.SIGHUP)
		core.signal(syscall.SIGHUP)
	case change:
		// An unacknowledged change may or may not be in force.
		_ = s.putConfig(ctx, f.target)
	case race:
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.putConfig(ctx, f.target)
		}()
		_ = s.putConfig(ctx, f.target+1)
		<-done
	default:
		s.disturbRunner(ctx, f)
	}
}

func (s *system) restart(ctx context.Context, p *process, down time.Duration, end func()) {
	end()
	sleep(ctx, down)
	p.node.Bootstrap = false
	if err := p.start(); err != nil {
		s.check.mu.Lock()
		s.check.find("start: %v", err)
		s.check.mu.Unlock()
	}
}

// terminate sends SIGTERM and reports a process that does not end.
func (s *system) terminate(p *process) {
	p.signal(syscall.SIGTERM)
	if !p.wait(stopLimit) {
		s.check.mu.Lock()
		s.check.find("stop: %s still ran %v after SIGTERM", p.node.Name, stopLimit)
		s.check.mu.Unlock()
		p.kill()
	}
}

// stopGracefully stops an entry, which must cut off no request.
func (s *system) stopGracefully(ctx context.Context, p *process) {
	s.restart(ctx, p, 0, func() { s.terminate(p) })
}

func (s *system) pause(ctx context.Context, p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	p.signal(contSignal)
}

// disturbRunner disturbs one runner or the connections to it.
func (s *system) disturbRunner(ctx context.Context, f fault) {
	s.mu.Lock()
	v := s.runners[f.target%len(s.runners)]
	s.mu.Unlock()
	switch f.kind {
	case resetLinks:
		v.proxy.reset()
	case silentLinks:
		v.proxy.silence()
	case delayLinks:
		v.proxy.delay.Store(int64(100 * time.Millisecond))
		sleep(ctx, f.last)
		v.proxy.delay.Store(0)
	case oneWayLink:
		v.proxy.oneWay.Store(true)
		sleep(ctx, f.last)
		v.proxy.oneWay.Store(false)
	case crashRunner:
		s.replace(ctx, f.target%len(s.runners), func() { v.Stop() }, f.last)
	case leaveRunner:
		s.replace(ctx, f.target%len(s.runners), func() { s.leave(ctx, v) }, 0)
	}
}

// replace ends a runner and starts another one in its place.
func (s *system) replace(ctx context.Context, i int, end func(), down time.Duration) {
	s.mu.Lock()
	old := s.runners[i]
	s.mu.Unlock()
	end()
	old.stop()
	sleep(ctx, down)
	if ctx.Err() != nil || s.addRunner(ctx, old.Service, old.Stage) != nil {
		return
	}
	s.mu.Lock()
	n := len(s.runners) - 1
	s.runners[i], s.runners[n] = s.runners[n], s.runners[i]
	s.runners = s.runners[:n]
	s.mu.Unlock()
	old.Stop()
	old.proxy.close()
}

// leave lets a runner drain as the platform does: it reports, serves on for
// drainBound and a little longer, and ends.
func (s *system) leave(ctx context.Context, v *served) {
	v.Drain()
	for core := range coreCount {
		if s.reportOnce(ctx, v, core) {
			s.check.mu.Lock()
			s.check.leftAt[v.ID] = time.Now()
			s.check.mu.Unlock()
			break
		}
	}
	sleep(ctx, drainBound+time.Second)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
