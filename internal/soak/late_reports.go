package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

// The kinds of faults in which reports are late. They are injected only when they are named.
const (
	// restartUnreported starts engines again under their ids with other software, one after
	// the other. They serve at once and report later.
	restartUnreported faultKind = "restart-unreported"
	// restartTwice does the same, and each process ends soon and starts once more.
	restartTwice faultKind = "restart-twice"
	// staleReports does the same as restartUnreported, and reports of the processes before
	// arrive later.
	staleReports faultKind = "stale-reports"
	// lateReports makes reports to two core daemons arrive late.
	lateReports faultKind = "late-reports"
)

var lateReportKinds = []faultKind{restartUnreported, restartTwice, staleReports, lateReports}

const (
	minReportDelay = 100 * time.Millisecond
	maxReportDelay = 5 * time.Second
	// maxSeries is the largest number of engines of a series, which start again
	// maxSeriesInterval apart or less.
	maxSeries         = 5
	maxSeriesInterval = 400 * time.Millisecond
	// maxBriefLife is the longest time until a process ends that is to end soon, and
	// maxDowntime the longest until the next one starts.
	maxBriefLife = 2 * time.Second
	maxDowntime  = 300 * time.Millisecond
	// lateResetMargin is the time after the first report of a process in which its
	// connections may still be reset.
	lateResetMargin = 700 * time.Millisecond
)

// restart is the restart of an engine in a series.
type restart struct {
	// target is reduced modulo the number of engines, and core modulo that of core daemons.
	target, core int
	// startAt is relative to the start of the series, the other times to the restart.
	startAt, reportDelay time.Duration
	// resets are the times at which the connections of the process are reset, staleAt those
	// at which reports of the process before arrive.
	resets, staleAt []time.Duration
	// endAt is when the process ends, 0 for not soon. downtime later the next one starts,
	// with nextDelay until its first report.
	endAt, downtime, nextDelay time.Duration
}

// planRestarts returns the restarts of a fault. The result depends only on the fault.
func planRestarts(f fault) []restart {
	random := rand.New(rand.NewPCG(uint64(f.target), uint64(f.startAt)))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var restarts []restart
	at := time.Duration(0)
	for i := range 2 + random.IntN(maxSeries-1) {
		r := restart{target: f.target + i, core: random.IntN(coreCount), startAt: at, reportDelay: between(minReportDelay, maxReportDelay)}
		for range 3 {
			r.resets = append(r.resets, between(0, r.reportDelay+lateResetMargin))
		}
		slices.Sort(r.resets)
		switch f.kind {
		case restartTwice:
			r.endAt, r.downtime, r.nextDelay = between(minReportDelay, maxBriefLife), between(0, maxDowntime), between(minReportDelay, maxReportDelay)
			r.reportDelay = between(minReportDelay, 2*maxBriefLife)
		case staleReports:
			r.staleAt = []time.Duration{between(0, r.reportDelay), r.reportDelay + between(0, lateResetMargin)}
		}
		restarts = append(restarts, r)
		at += between(0, maxSeriesInterval)
	}
	return restarts
}

// restartSeries starts engines again, and returns when all of them have reported.
func (s *system) restartSeries(ctx context.Context, f fault) {
	begin := time.Now()
	var wg sync.WaitGroup
	for _, r := range planRestarts(f) {
		sleep(ctx, r.startAt-time.Since(begin))
		s.mu.Lock()
		engines := slices.DeleteFunc(slices.Clone(s.runners), func(r *proxiedRunner) bool { return r.Stage == standin.StagePlain || s.restarting[r.ID] })
		s.mu.Unlock()
		if len(engines) > 0 {
			wg.Go(func() { s.runRestart(ctx, engines[r.target%len(engines)], r) })
		}
	}
	wg.Wait()
}

// runRestart carries out a restart of an engine.
func (s *system) runRestart(ctx context.Context, old *proxiedRunner, r restart) {
	stale := old.NewReport(old.proxy.address(), runnerZone)
	runner := s.restartInPlace(ctx, old, r.reportDelay)
	if runner == nil {
		return
	}
	begin := time.Now()
	var wg sync.WaitGroup
	for i, at := range r.staleAt {
		wg.Go(func() {
			sleep(ctx, at)
			s.sendLate(ctx, stale, r.core+i)
		})
	}
	for _, at := range r.resets {
		if r.endAt > 0 && at > r.endAt {
			break
		}
		sleep(ctx, at-time.Since(begin))
		runner.proxy.reset()
	}
	if r.endAt > 0 {
		sleep(ctx, r.endAt-time.Since(begin))
		runner.stopReports()
		runner.Stop()
		sleep(ctx, r.downtime)
		s.restartInPlace(ctx, runner, r.nextDelay)
		sleep(ctx, r.nextDelay)
	}
	sleep(ctx, r.reportDelay-time.Since(begin))
	wg.Wait()
}

// restartInPlace starts a runner again, under its id and at its address, with other software.
// Its first report is sent after reportDelay. The result is nil if the runner was replaced
// meanwhile, or starts again already.
func (s *system) restartInPlace(ctx context.Context, old *proxiedRunner, reportDelay time.Duration) *proxiedRunner {
	s.mu.Lock()
	if s.restarting[old.ID] || !slices.Contains(s.runners, old) {
		s.mu.Unlock()
		return nil
	}
	s.restarting[old.ID] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.restarting, old.ID)
	}()
	old.Stop()
	old.stopReports()
	runner, err := s.startAgain(ctx, old, reportDelay)
	if err != nil {
		s.check.report("restarting runner %s: %v", old.ID, err)
		return nil
	}
	s.check.mu.Lock()
	delete(s.check.leaveAckedAt, old.ID)
	s.check.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.runners, old)
	if i < 0 {
		runner.stopReports()
		runner.Stop()
		runner.proxy.close()
		return nil
	}
	s.applyCuts(runner.proxy)
	s.runners[i] = runner
	return runner
}

// startAgain starts the process that follows a runner's.
func (s *system) startAgain(ctx context.Context, old *proxiedRunner, reportDelay time.Duration) (*proxiedRunner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	proxy := old.proxy
	if s.processes {
		proxy.close()
		if proxy, err = newProxy(proxy.address(), l.Addr().String(), true); err != nil {
			_ = l.Close()
			return nil, err
		}
	}
	proxy.target.Store(l.Addr().String())
	version := "v0"
	if old.Version == version {
		version = "v1"
	}
	return s.startRunner(ctx, l, proxy, runnerStart{
		id: old.ID, version: version, engine: old.engine, startMs: max(time.Now().UnixMilli(), old.StartMs+1), reportDelay: reportDelay,
	})
}

// delayReports makes reports to two core daemons arrive late, and returns when all of them
// have arrived.
func (s *system) delayReports(ctx context.Context, f fault) {
	random := rand.New(rand.NewPCG(uint64(f.target), uint64(f.startAt)))
	delay := reportTimeout + time.Duration(random.Int64N(int64(maxReportDelay-reportTimeout)))
	late := []int{f.target % coreCount, (f.target + 1 + random.IntN(coreCount-1)) % coreCount}
	s.mu.Lock()
	for _, core := range late {
		s.lateCores[core] = delay
	}
	s.mu.Unlock()
	sleep(ctx, f.duration)
	s.mu.Lock()
	clear(s.lateCores)
	s.mu.Unlock()
	sleep(ctx, delay)
}

// delayReport sends a report that arrives late, also if the runner has ended by then, and
// reports whether those to the core daemon are late.
func (s *system) delayReport(ctx context.Context, runner *proxiedRunner, core int) bool {
	s.mu.Lock()
	delay := s.lateCores[core%coreCount]
	s.mu.Unlock()
	if delay == 0 {
		return false
	}
	report := runner.NewReport(runner.proxy.address(), runnerZone)
	go func() {
		sleep(ctx, delay)
		s.sendLate(ctx, report, core)
	}()
	return true
}

// sendLate sends a report whose sender no longer waits for an answer.
func (s *system) sendLate(ctx context.Context, report standin.Report, core int) {
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_ = report.Send(reportCtx, s.coreAddress(core))
}
