package soak

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

const resumeSignal = syscall.SIGCONT

// stopTimeout is the time after SIGTERM within which a process must exit; the
// platform's graceS.
const stopTimeout = 8 * time.Second

// inject executes one fault and returns when it is over. A graceful stop of an
// entry, a reload, configuration changes, a runner's leave and its silence must not disturb
// the service, so they are not counted as faults.
func (s *system) inject(ctx context.Context, f fault) {
	defer s.coreFault(ctx, f)()
	if !slices.Contains(slices.Concat(plannedKinds, silenceKinds()), f.kind) {
		s.check.faultStarted()
		defer s.check.faultEnded()
	}
	defer s.lostCheck.faultStarted(f)()
	defer s.cutCheck.disturbed(f, len(s.entries))()
	defer s.statementCheck.interrupted(f, len(s.entries))()
	entry := s.entries[f.target%len(s.entries)]
	core := s.cores[f.target%len(s.cores)]
	switch f.kind {
	case killEntry:
		s.stopAndRestart(ctx, entry, f.duration, entry.kill)
	case stopEntry:
		s.restartGracefully(ctx, entry)
	case pauseEntry:
		s.pauseProcess(ctx, entry, f.duration)
	case killCore:
		s.stopAndRestart(ctx, core, f.duration, core.kill)
	case stopCore:
		s.stopAndRestart(ctx, core, f.duration, func() { s.terminate(core) })
	case pauseCore:
		s.pauseProcess(ctx, core, f.duration)
	case wipeCore:
		s.stopAndRestart(ctx, core, f.duration, func() {
			core.kill()
			s.emptyDisk(core)
		})
	case killAllCores:
		for _, p := range s.cores {
			p.kill()
		}
		for _, p := range s.cores {
			s.stopAndRestart(ctx, p, 0, func() {})
		}
	case loseCores:
		s.loseCores(ctx, f, entry)
	case killAll:
		all := slices.Concat(s.cores, s.entries)
		for _, p := range all {
			p.kill()
		}
		for _, p := range all {
			s.stopAndRestart(ctx, p, 0, func() {})
		}
	case reloadSettings:
		s.lostCheck.signalled(&s.lostCheck.reloads, f.target%len(s.entries))
		for _, p := range []*process{entry, core} {
			if err := p.hangUp(); err != nil {
				s.check.mu.Lock()
				s.check.addFinding("start: %v", err)
				s.check.mu.Unlock()
			}
		}
	case changeConfig:
		// An error is ignored: a change without acknowledgement may or may not
		// be in force.
		_ = s.putConfig(ctx, f.target)
	case raceConfigChanges:
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = s.putConfig(ctx, f.target)
		}()
		_ = s.putConfig(ctx, f.target+1)
		<-done
	case cutEntryHang, cutEntryReset, cutEntryRefuse:
		s.cutEntries(ctx, f)
	default:
		s.injectRunnerFault(ctx, f)
	}
}

func (s *system) loseCores(ctx context.Context, f fault, entry *process) {
	for _, p := range s.cores {
		p.kill()
	}
	var restarts sync.WaitGroup
	restarts.Go(func() { s.restartSeries(ctx, fault{kind: restartUnreported, target: f.target, duration: f.duration}) })
	sleep(ctx, f.duration)
	s.stopAndRestart(ctx, entry, 0, func() {
		entry.kill()
		for _, p := range s.cores {
			s.stopAndRestart(ctx, p, 0, func() {})
		}
	})
	restarts.Wait()
}

// stopAndRestart calls stop, waits for the downtime and starts the process again.
func (s *system) stopAndRestart(ctx context.Context, p *process, downtime time.Duration, stop func()) {
	stop()
	sleep(ctx, downtime)
	p.node.Bootstrap = false
	if s.opts.Upgrade != nil {
		p.node.Seeds = s.seeds()
	}
	if err := p.start(); err != nil {
		s.check.mu.Lock()
		s.check.addFinding("start: %v", err)
		s.check.mu.Unlock()
	}
}

// emptyDisk removes what a core daemon has stored.
func (s *system) emptyDisk(core *process) {
	entries, err := os.ReadDir(core.node.DataDir)
	for _, e := range entries {
		err = errors.Join(err, os.RemoveAll(filepath.Join(core.node.DataDir, e.Name())))
	}
	if err != nil {
		s.check.mu.Lock()
		defer s.check.mu.Unlock()
		s.check.addFinding("emptying the disk of %s: %v", core.node.Name, err)
	}
}

// stopSignals follow the first SIGTERM of a process, stopSignalInterval apart, which
// spreads them over the time in which an entry completes its requests. Before each
// SIGHUP the settings change.
var stopSignals = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGHUP}

const stopSignalInterval = 600 * time.Millisecond

// terminate sends SIGTERM and further signals, and adds a finding when the process does
// not exit or is ended by a signal.
func (s *system) terminate(p *process) {
	started := p.hasStarted()
	s.lostCheck.signalled(&s.lostCheck.stops, slices.Index(s.entries, p))
	p.signal(syscall.SIGTERM)
	deadline := time.Now().Add(stopTimeout)
	for i, next := range stopSignals {
		if p.waitFor(stopSignalInterval) {
			break
		}
		if next == syscall.SIGHUP {
			changed := p.node
			changed.Seeds = append(slices.Clone(p.node.Seeds[i%len(p.node.Seeds):]), p.node.Seeds[:i%len(p.node.Seeds)]...)
			_ = changed.Write(p.nodeFile)
		}
		p.signal(next)
	}
	exited := p.waitFor(time.Until(deadline))
	if !exited {
		p.kill()
	}
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	if !exited || started {
		s.check.checkStop(s.describe(p), exited, p.exitStatus())
	}
}

// restartGracefully stops an entry with SIGTERM and restarts it. The entry must
// finish its requests before it exits.
func (s *system) restartGracefully(ctx context.Context, p *process) {
	s.stopAndRestart(ctx, p, 0, func() { s.terminate(p) })
}

func (s *system) pauseProcess(ctx context.Context, p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	p.signal(resumeSignal)
}

// injectRunnerFault injects a fault into one runner or its connections.
func (s *system) injectRunnerFault(ctx context.Context, f fault) {
	s.mu.Lock()
	runner := s.runners[f.target%len(s.runners)]
	s.mu.Unlock()
	switch f.kind {
	case resetLinks:
		runner.proxy.reset()
	case silentLinks:
		runner.proxy.blackhole()
	case delayLinks:
		runner.proxy.delayNanos.Store(int64(100 * time.Millisecond))
		sleep(ctx, f.duration)
		runner.proxy.delayNanos.Store(0)
	case oneWayLink:
		runner.proxy.dropResponses.Store(true)
		sleep(ctx, f.duration)
		runner.proxy.dropResponses.Store(false)
	case crashRunner, killRunner:
		s.replaceRunner(ctx, f.target%len(s.runners), func() { runner.Stop() }, f.duration)
	case leaveRunner:
		if f.target%2 == 0 {
			// The others only report it to the core.
			runner.SetLeaving()
		}
		s.replaceRunner(ctx, f.target%len(s.runners), func() { s.drainRunner(ctx, runner) }, 0)
	case releaseEngines:
		s.release(ctx)
	case changeWeights:
		if runner.Stage != standin.StagePlain {
			runner.SetWeights(runner.Weights() + 1)
		}
	case restartRunner:
		s.restartInPlace(ctx, runner, 0)
	case restartUnreported, restartTwice, staleReports:
		s.restartSeries(ctx, f)
	case idleRestart:
		s.idleThenRestart(ctx, f)
	case lateReports:
		s.delayReports(ctx, f)
	case faultKind(standin.PauseStreams), faultKind(standin.LateStatus), faultKind(standin.SlowAnswers), faultKind(standin.MuteEngine):
		s.injectSilence(ctx, f)
	case preemptStreams, changeRole:
		s.injectEngineFault(ctx, f)
	case deadlyRequest:
		s.sendDeadly(ctx, f)
	case askPause, stateLimit:
		injectStatement(runner, f, func(d time.Duration) { sleep(ctx, d) })
	case strayEvents:
		runner.SetStartsAnew(true)
		sleep(ctx, f.duration)
		runner.SetStartsAnew(false)
	default:
		s.setAnswerFault(standin.WireFault(f.kind), true)
		sleep(ctx, f.duration)
		s.setAnswerFault(standin.WireFault(f.kind), false)
	}
}

// release replaces all engines, one after the other, by ones of a new software version.
func (s *system) release(ctx context.Context) {
	s.releases.Add(1)
	s.mu.Lock()
	runners := slices.Clone(s.runners)
	s.mu.Unlock()
	var wg sync.WaitGroup
	for i, r := range runners {
		if r.Stage == standin.StagePlain {
			continue
		}
		wg.Go(func() {
			// It may have started again in place.
			s.mu.Lock()
			current := s.runners[i]
			s.mu.Unlock()
			s.drainRunner(ctx, current)
			// A runner is added at the end of the list before it takes the old one's place.
			s.replacing.Lock()
			defer s.replacing.Unlock()
			s.replaceRunner(ctx, i, func() {}, 0)
		})
		sleep(ctx, releaseInterval)
	}
	wg.Wait()
}

// releaseInterval is the time between the replacements of two engines of a release.
const releaseInterval = 300 * time.Millisecond

// replaceRunner stops a runner and starts another one in its place.
func (s *system) replaceRunner(ctx context.Context, i int, stop func(), downtime time.Duration) {
	s.mu.Lock()
	old := s.runners[i]
	s.mu.Unlock()
	stop()
	old.stopReports()
	sleep(ctx, downtime)
	if ctx.Err() != nil || s.addRunner(ctx, old.engine) != nil {
		return
	}
	s.mu.Lock()
	n := len(s.runners) - 1
	s.runners[i], s.runners[n] = s.runners[n], s.runners[i]
	// It may have started again in place meanwhile.
	old = s.runners[n]
	s.runners = s.runners[:n]
	s.mu.Unlock()
	old.stopReports()
	old.Stop()
	old.proxy.close()
}

// drainRunner drains a runner as the platform does: the runner reports that it
// leaves, and continues to serve for drainWindow and one more second.
func (s *system) drainRunner(ctx context.Context, runner *proxiedRunner) {
	runner.Drain()
	for core := range coreCount {
		if s.sendReport(ctx, runner, core) {
			s.check.mu.Lock()
			s.check.leaveAckedAt[runner.ID] = time.Now()
			s.check.mu.Unlock()
			break
		}
	}
	sleep(ctx, drainWindow+time.Second)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
