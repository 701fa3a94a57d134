package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// readyTimeout is the time in which an entry must be ready after its start.
const readyTimeout = 5 * time.Second

// runUpgrade takes the steps of an upgrade one after the other. Other faults go on beside
// it, except at the daemon whose build changes. If both builds run when those faults are
// over, callers must be served by both before the upgrade goes on.
func (s *system) runUpgrade(ctx context.Context, steps []upgradeStep, faultsOver <-chan struct{}) {
	sleep(ctx, firstFaultAt)
	s.phase.Store(int32(duringUpgrade))
	checked := false
	for _, step := range steps {
		if ctx.Err() != nil {
			return
		}
		s.takeUpgradeStep(ctx, step)
		select {
		case <-faultsOver:
			if !checked && s.runsBothBuilds() {
				checked = true
				s.changesPaused.Store(true)
				s.checkRecovery(ctx, "recover, both builds")
				s.changesPaused.Store(false)
			}
		default:
		}
		sleep(ctx, step.pause)
	}
	s.phase.Store(int32(afterUpgrade))
}

func (s *system) runsBothBuilds() bool {
	first := s.cores[0].currentBuild()
	return slices.ContainsFunc(s.daemons(), func(p *process) bool { return p.currentBuild() != first })
}

func (s *system) takeUpgradeStep(ctx context.Context, step upgradeStep) {
	f := fault{kind: stopEntry, target: step.target}
	p := s.entries[step.target%len(s.entries)]
	if step.core {
		f.kind = stopCore
		p = s.cores[step.target%len(s.cores)]
	}
	defer s.lockTargets(f)()
	defer s.coreFault(ctx, f)()
	defer s.cutCheck.disturbed(f, len(s.entries))()
	if step.core || step.killed() {
		s.check.faultStarted()
		defer s.check.faultEnded()
	}
	b := s.newBuild
	if step.back {
		b = s.opts.Upgrade.From
	}
	fmt.Fprintf(s.opts.Out, "%s %s, to %s\n", time.Now().Format("15:04:05.000"), step, b.Name)
	s.stopAndRestart(ctx, p, 0, func() {
		switch step.ends {
		case killedStopping:
			p.signal(syscall.SIGTERM)
			p.waitFor(step.killAfter)
			p.kill()
		case killed:
			p.kill()
		default:
			s.terminate(p)
		}
		if step.disk != kept {
			s.emptyDisk(p)
		}
		if step.disk == replaced {
			p.move(s.ip(1, coreCount+int(s.moves.Add(1))))
		}
		p.setBuild(b)
	})
	if step.killedStarting {
		s.stopAndRestart(ctx, p, 0, func() {
			p.waitFor(step.killAfter)
			p.kill()
		})
	}
	if !step.core {
		s.awaitReady(ctx, p)
	}
}

// awaitReady waits until an entry says that it is ready.
func (s *system) awaitReady(ctx context.Context, p *process) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		if p.node.IsReady(ctx) {
			return
		}
	}
	if ctx.Err() == nil {
		s.check.report("start: %s was not ready %v after its start", s.describe(p), readyTimeout)
	}
}

// seeds returns the addresses that a daemon is told when it starts.
func (s *system) seeds() []string {
	var addresses []string
	for _, p := range s.cores[:seedCount] {
		addresses = append(addresses, p.address())
	}
	return addresses
}

// coreFault waits, in a run with an upgrade, until a fault leaves no more core daemons
// unavailable than the group tolerates, and returns the function that records its end.
func (s *system) coreFault(ctx context.Context, f fault) (ended func()) {
	if s.opts.Upgrade == nil || !f.endsOneCore() && !f.endsAllCores() {
		return func() {}
	}
	tolerated := faultTolerance - 1
	if f.endsAllCores() {
		tolerated = 0
	}
	const pollInterval = 50 * time.Millisecond
	for ctx.Err() == nil && s.unavailableCores(f) > tolerated {
		sleep(ctx, pollInterval)
	}
	return func() {
		s.unavailableMu.Lock()
		defer s.unavailableMu.Unlock()
		for i := range s.unavailable {
			if f.endsAllCores() || i == f.target%coreCount {
				s.unavailable[i] = time.Now().Add(catchUpTime)
			}
		}
	}
}

// unavailableCores counts the core daemons that are unavailable apart from the fault's target.
func (s *system) unavailableCores(f fault) int {
	s.unavailableMu.Lock()
	defer s.unavailableMu.Unlock()
	n := 0
	for i, until := range s.unavailable {
		if time.Now().Before(until) && (f.endsAllCores() || i != f.target%coreCount) {
			n++
		}
	}
	return n
}

// coreBuilds lists the builds of the core daemons.
func (s *system) coreBuilds() string {
	var builds []string
	for _, c := range s.cores {
		builds = append(builds, c.currentBuild())
	}
	return strings.Join(builds, ", ")
}

// noteEntry records the entry to which a request is sent and, in an upgrade, its build and
// those of the core.
func (s *system) noteEntry(id, entryAddress string) {
	for i, p := range s.entries {
		if fmt.Sprintf("%s:%d", p.node.IP, p.node.CallerPort) != entryAddress {
			continue
		}
		s.statementCheck.sent(id, i)
		if s.opts.Upgrade != nil {
			build := p.currentBuild()
			s.check.servedBy(id, server{
				build: build, description: fmt.Sprintf("%s (%s; core %s)", p.node.Name, build, s.coreBuilds()),
				phase: phase(s.phase.Load()), sentAt: time.Now(),
			})
		}
	}
}

// checkBuilds checks what callers were served during the upgrade, and prints which build
// took which step.
func (s *system) checkBuilds() {
	s.check.checkServedDuringUpgrade()
	found := s.readLogs(s.check.requestsWithFindings())
	s.check.attribute(found.decisions)
	s.check.printBuilds(s.opts.Out, found)
}
