package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// idleRestart makes all callers idle for a time. Engines start again in place as the callers
// begin again. It is injected only when it is named.
const idleRestart faultKind = "idle-restart"

// idleLimits are the shortest and longest time for which callers idle, and the shortest for which
// they call before. In long runs they idle for longer than streams, versions and routes are kept.
type idleLimits struct{ shortest, longest, calls time.Duration }

var (
	shortIdle = idleLimits{2 * time.Second, 4 * time.Second, 2 * time.Second}
	longIdle  = idleLimits{65 * time.Second, 80 * time.Second, time.Minute}
)

const (
	// longRun is the shortest run with long idle phases.
	longRun = 2 * time.Minute
	// maxCallsDelay is the longest time from the restart of the first engine until callers begin.
	maxCallsDelay = 300 * time.Millisecond
)

// isQuiet reports whether no other fault begins in an idle phase, and no route changes.
func (f fault) isQuiet() bool { return f.kind == idleRestart && f.target%2 == 0 }

// planIdle gives the idle phases of a schedule their durations, and leaves out those that would
// begin too early after another, and the faults within quiet ones. The result depends only on
// the arguments.
func planIdle(faults []fault, run time.Duration) []fault {
	limits := shortIdle
	if run >= longRun {
		limits = longIdle
	}
	var kept []fault
	var idle fault
	for _, f := range faults {
		end := idle.startAt + idle.duration
		switch {
		case f.kind == idleRestart && f.startAt < end+limits.calls, idle.isQuiet() && f.startAt < end:
			continue
		case f.kind == idleRestart:
			random := rand.New(rand.NewPCG(uint64(f.target), uint64(f.startAt)))
			f.duration = limits.shortest + time.Duration(random.Int64N(int64(limits.longest-limits.shortest)))
			idle = f
		}
		kept = append(kept, f)
	}
	return kept
}

// idlePhase is a time in which callers send nothing.
type idlePhase struct {
	mu sync.Mutex
	// over is closed at the end of the phase, nil if there is none.
	over chan struct{}
}

// awaitCalls waits until callers may send requests, and reports whether they may before ctx ends.
func (s *system) awaitCalls(ctx context.Context) bool {
	s.idle.mu.Lock()
	over := s.idle.over
	s.idle.mu.Unlock()
	if over != nil {
		select {
		case <-over:
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

// idleThenRestart makes callers idle, and starts engines again as they begin again.
func (s *system) idleThenRestart(ctx context.Context, f fault) {
	over := make(chan struct{})
	s.changesPaused.Store(f.isQuiet())
	s.setIdle(over)
	sleep(ctx, f.duration)
	random := rand.New(rand.NewPCG(uint64(f.target), uint64(f.duration)))
	time.AfterFunc(time.Duration(random.Int64N(int64(maxCallsDelay))), func() {
		s.setIdle(nil)
		s.changesPaused.Store(false)
		close(over)
	})
	f.kind = []faultKind{restartUnreported, restartTwice, staleReports}[random.IntN(3)]
	s.restartSeries(ctx, f)
}

func (s *system) setIdle(over chan struct{}) {
	s.idle.mu.Lock()
	defer s.idle.mu.Unlock()
	s.idle.over = over
}
