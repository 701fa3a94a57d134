package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Duration is the time in which faults begin.
	Duration time.Duration
	// Entries and Runners are numbers of processes; Runners counts those of
	// each of the two services.
	Entries, Runners int
	// Faults limits the kinds of faults; empty means all.
	Faults []string
	// Binaries is the folder of gw-edge and gw-core, Dir the folder of logs and
	// data.
	Binaries, Dir string
	// Out receives the schedule and the findings.
	Out io.Writer
}

const (
	// settleShare is the share of requests that must be served once the system
	// has recovered; runners that were replaced lately may still be unknown.
	settleShare = 0.95
	// settleTime is how long requests are counted for it.
	settleTime = 3 * time.Second
)

// Run plays one seed and returns the broken promises.
func Run(ctx context.Context, opts Options) ([]string, error) {
	kinds, err := kindsOf(opts.Faults)
	if err != nil {
		return nil, err
	}
	check := newChecker()
	s, err := newSystem(opts, check)
	if err != nil {
		return nil, err
	}
	defer s.end()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	schedule := plan(opts.Seed, opts.Duration, kinds)
	for _, f := range schedule {
		fmt.Fprintln(opts.Out, f)
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var load sync.WaitGroup
	for i := range callers {
		load.Go(func() { s.call(loadCtx, i) })
	}
	load.Go(func() { s.readConfig(loadCtx) })
	s.play(ctx, schedule)
	s.checkRecovery(ctx)
	stopLoad()
	load.Wait()
	s.checkCalm()
	check.refusals()
	s.checkConfig(ctx)
	check.logs(opts.Dir)
	served, all := check.served()
	fmt.Fprintf(opts.Out, "seed %d: %d faults, %d of %d requests served, %v\n", opts.Seed, len(schedule), served, all, check.counts)
	return check.findings, ctx.Err()
}

func kindsOf(names []string) ([]kind, error) {
	if len(names) == 0 {
		return allKinds, nil
	}
	var kinds []kind
	for _, n := range names {
		found := false
		for _, k := range allKinds {
			if string(k) == n {
				kinds = append(kinds, k)
				found = true
			}
		}
		if !found {
			return nil, errors.Errorf("fault %q is not known", n)
		}
	}
	return kinds, nil
}

// play injects the faults at their times and waits for the last one.
func (s *system) play(ctx context.Context, schedule []fault) {
	began := time.Now()
	var running sync.WaitGroup
	// Faults of one process follow each other; they would end each other.
	locks := map[int]*sync.Mutex{}
	for _, f := range schedule {
		sleep(ctx, f.at-time.Since(began))
		if ctx.Err() != nil {
			break
		}
		lock := locks[s.lockOf(f)]
		if lock == nil {
			lock = &sync.Mutex{}
			locks[s.lockOf(f)] = lock
		}
		running.Go(func() {
			lock.Lock()
			defer lock.Unlock()
			s.inject(ctx, f)
		})
	}
	running.Wait()
}

// lockOf numbers the process that a fault concerns.
func (s *system) lockOf(f fault) int {
	switch f.kind {
	case killEntry, stopEntry, pauseEntry, hangUp:
		return 1000 + f.target%len(s.entries)
	case killCore, stopCore, pauseCore, wipeCore, killAll:
		return 2000
	case change, race:
		return 3000
	}
	return 4000
}

// checkRecovery requires that requests are served once the bound is over.
func (s *system) checkRecovery(ctx context.Context) {
	sleep(ctx, recoverBound)
	served, all := s.check.served()
	sleep(ctx, settleTime)
	servedLater, allLater := s.check.served()
	if n := allLater - all; n == 0 || float64(servedLater-served) < settleShare*float64(n) {
		s.check.mu.Lock()
		s.check.find("recover: %d of %d requests served %v after the last fault", servedLater-served, n, recoverBound)
		s.check.mu.Unlock()
	}
}

// checkCalm requires that no runner works on when all callers have gone.
func (s *system) checkCalm() {
	time.Sleep(2 * cancelBound)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.runners {
		if n := v.Running(); n > 0 {
			s.check.mu.Lock()
			s.check.find("gone: runner %s still works on %d requests without a caller", v.ID, n)
			s.check.mu.Unlock()
		}
	}
}

// checkConfig requires that what was acknowledged is still there.
func (s *system) checkConfig(ctx context.Context) {
	// A change proves that a majority works, and reads after it are current.
	if err := s.putConfig(ctx, 0); err != nil {
		s.check.mu.Lock()
		s.check.find("config: no change is accepted after the run: %v", err)
		s.check.mu.Unlock()
		return
	}
	readCtx, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	s.readConfig(readCtx)
}
