package soak

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Duration is the time span in which faults start.
	Duration time.Duration
	// Entries is the number of entry processes, Runners and Engines the numbers of
	// runners (stand-in upstreams) of the plain service and of that with model engines.
	Entries, Runners, Engines int
	// Shape is the name of the shape; empty means the small one. That of Kiritani sets the
	// numbers above.
	Shape string
	// Faults lists the kinds of faults to inject; empty means all.
	Faults []string
	// Statements are the choices of what runners state.
	Statements Statements
	// Binaries is the folder with gw-edge and gw-core, BuildName their name in findings, and
	// Dir the folder for logs and data.
	Binaries, BuildName, Dir string
	// Upgrade makes the run begin with another build, which Binaries replaces; nil for none.
	Upgrade *Upgrade
	// Out receives the schedule and the summary.
	Out io.Writer
}

const (
	// minServedShare is the share of requests that must be served after recovery.
	// It is below 1 because recently replaced runners may not be known yet.
	minServedShare = 0.95
	// recoveryWindow is the time in which this share is measured.
	recoveryWindow = 3 * time.Second
)

// Run runs the fault schedule of one seed and returns the findings.
func Run(ctx context.Context, opts Options) ([]string, error) {
	kinds, err := parseKinds(opts.Faults)
	if err != nil {
		return nil, err
	}
	sh, err := opts.setShape()
	if err != nil {
		return nil, err
	}
	if slices.ContainsFunc(kinds, func(k faultKind) bool { return slices.Contains(silenceKinds(), k) }) {
		sh.changeInterval *= rareChanges
	}
	check := newChecker()
	check.longEvents = sh.longEvents
	s, err := newSystem(opts, sh, check, slices.ContainsFunc(kinds, needsProcesses))
	if err != nil {
		return nil, err
	}
	defer s.stop()
	cuts := slices.ContainsFunc(kinds, cutsEntries)
	if cuts {
		if err := s.setSourceAddresses(ctx); err != nil {
			return nil, err
		}
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	fmt.Fprintln(opts.Out, describeStatements(opts.Statements.drawn(opts.Seed)))
	schedule := planFaults(opts.Seed, opts.Duration, kinds)
	for _, f := range schedule {
		fmt.Fprintln(opts.Out, f)
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i := range sh.callers {
		load.Go(func() { s.runCaller(loadCtx, i) })
	}
	load.Go(func() { s.readConfig(loadCtx) })
	changeCtx, stopChanges := context.WithCancel(ctx)
	load.Go(func() { s.changeRoutes(changeCtx) })
	if cuts {
		load.Go(func() { s.runStayingCallers(changeCtx) })
	}
	var upgrade sync.WaitGroup
	faultsOver := make(chan struct{})
	if opts.Upgrade != nil {
		steps := planUpgrade(opts.Seed, opts.Upgrade, len(s.entries), len(s.cores))
		for _, step := range steps {
			fmt.Fprintln(opts.Out, step)
		}
		upgrade.Go(func() { s.runUpgrade(ctx, steps, faultsOver) })
	}
	s.injectFaults(ctx, schedule)
	close(faultsOver)
	upgrade.Wait()
	stopChanges()
	s.checkRecovery(ctx, "recover")
	stopLoad()
	load.Wait()
	s.checkNoOrphans()
	check.checkRefusals()
	check.checkRuns()
	s.checkConfig(ctx)
	check.checkLogs(opts.Dir, s.buildOfLog)
	s.cutCheck.check(check, opts.Out)
	if opts.Upgrade == nil {
		s.lostCheck.check(check, opts.Out)
	}
	s.checkDeadlyRequests()
	if opts.Upgrade != nil {
		s.checkBuilds()
	}
	served, total := check.countServed()
	fmt.Fprintf(opts.Out, "seed %d: %d faults, %d of %d requests served, %v\n", opts.Seed, len(schedule), served, total, check.statusCounts)
	return check.findings, ctx.Err()
}

func parseKinds(names []string) ([]faultKind, error) {
	if len(names) == 0 {
		return allFaultKinds, nil
	}
	var kinds []faultKind
	for _, n := range names {
		found := false
		for _, k := range slices.Concat(allFaultKinds, namedFaultKinds) {
			if string(k) == n {
				kinds = append(kinds, k)
				found = true
			}
		}
		if !found {
			return nil, errors.Errorf("unknown fault kind %q", n)
		}
	}
	return kinds, nil
}

// injectFaults injects each fault at its scheduled time and waits until all are
// over.
func (s *system) injectFaults(ctx context.Context, schedule []fault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range schedule {
		sleep(ctx, f.startAt-time.Since(start))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer s.lockTargets(f)()
			s.inject(ctx, f)
		})
	}
	wg.Wait()
}

// lockTargets waits until no other fault has a target of f, and returns the function that
// lets others have them. Faults with the same target run one after the other: the restart
// by one would end the effect of another.
func (s *system) lockTargets(f fault) (unlock func()) {
	var held []*sync.Mutex
	for _, key := range s.targetLocks(f) {
		s.targetsMu.Lock()
		if s.targets[key] == nil {
			s.targets[key] = &sync.Mutex{}
		}
		lock := s.targets[key]
		s.targetsMu.Unlock()
		lock.Lock()
		held = append(held, lock)
	}
	return func() {
		for _, lock := range held {
			lock.Unlock()
		}
	}
}

// targetLocks returns the keys of the locks that serialise faults of one target, in the
// order in which they are taken: one per entry, one for all core daemons, one for the
// configuration, one for all runners, one for late reports and one for each kind of faulty answers and of silence.
func (s *system) targetLocks(f fault) []int {
	const entryLock, coreLock, configLock, runnerLock, answersLock, lateReportsLock, silenceLock = 1000, 2000, 3000, 4000, 5000, 6000, 7000
	if i := slices.Index(silenceKinds(), f.kind); i >= 0 {
		return []int{silenceLock + i}
	}
	if i := slices.Index(wireFaultKinds(), f.kind); i >= 0 {
		return []int{answersLock + i}
	}
	switch f.kind {
	case cutEntryHang, cutEntryReset, cutEntryRefuse, restartUnreported, restartTwice, staleReports, askPause, stateLimit, deadlyRequest:
		return nil
	case idleRestart:
		return nil
	case lateReports:
		return []int{lateReportsLock}
	case reloadSettings:
		if s.opts.Upgrade != nil {
			return []int{entryLock + f.target%len(s.entries), coreLock}
		}
		return []int{entryLock + f.target%len(s.entries)}
	case killEntry, stopEntry, pauseEntry:
		return []int{entryLock + f.target%len(s.entries)}
	case killCore, stopCore, pauseCore, wipeCore, killAllCores:
		return []int{coreLock}
	case loseCores:
		return []int{entryLock + f.target%len(s.entries), coreLock}
	case killAll:
		var keys []int
		for i := range s.entries {
			keys = append(keys, entryLock+i)
		}
		return append(keys, coreLock)
	case changeConfig, raceConfigChanges:
		return []int{configLock}
	}
	return []int{runnerLock}
}

// checkRecovery requires that at least minServedShare of the requests are served
// once recoveryTimeout is over.
func (s *system) checkRecovery(ctx context.Context, name string) {
	sleep(ctx, recoveryTimeout)
	served, total := s.check.countServed()
	builds := s.check.servedByBuild()
	sleep(ctx, recoveryWindow)
	servedLater, totalLater := s.check.countServed()
	if n := totalLater - total; n == 0 || float64(servedLater-served) < minServedShare*float64(n) {
		text := fmt.Sprintf("%s: %d of %d requests served %v after the last fault", name, servedLater-served, n, recoveryTimeout)
		if s.opts.Upgrade != nil {
			text += fmt.Sprintf(": %s; core %s", since(builds, s.check.servedByBuild()), s.coreBuilds())
		}
		s.check.report("%s", text)
	}
}

// checkNoOrphans requires that no runner still works on a request after all
// callers have disconnected.
func (s *system) checkNoOrphans() {
	time.Sleep(2 * cancelTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, runner := range s.runners {
		if n := runner.Running(); n > 0 {
			s.check.mu.Lock()
			s.check.addFinding("gone: runner %s still works on %d requests without a caller", runner.ID, n)
			s.check.mu.Unlock()
		}
	}
}

// checkConfig requires that a configuration change is still accepted and that no
// acknowledged change was lost.
func (s *system) checkConfig(ctx context.Context) {
	// An accepted change proves that a majority is available, so the reads that
	// follow must be current.
	if err := s.putConfig(ctx, 0); err != nil {
		s.check.mu.Lock()
		s.check.addFinding("config: no change is accepted after the run: %v", err)
		s.check.mu.Unlock()
		return
	}
	readCtx, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	s.readConfig(readCtx)
}
