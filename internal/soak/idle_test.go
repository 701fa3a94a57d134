package soak

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against idle phases that are not repeatable, that overlap, that end in a long run before
// streams, versions and routes are forgotten, or that are quiet though other faults begin in them,
// and against other schedules of runs without idle phases.
func TestIdlePhasesDependOnTheScheduleAlone(t *testing.T) {
	kinds := []faultKind{idleRestart, killEntry, releaseEngines}
	for run, limits := range map[time.Duration]idleLimits{time.Minute: shortIdle, 10 * time.Minute: longIdle} {
		phases, disturbed, quiet := 0, 0, 0
		for seed := range uint64(20) {
			faults := planFaults(seed, run, kinds)
			require.Equal(t, faults, planFaults(seed, run, kinds))
			var idle fault
			for _, f := range faults {
				within := f.startAt < idle.startAt+idle.duration
				require.False(t, within && idle.isQuiet(), "seed %d, %v", seed, f)
				switch {
				case f.kind == idleRestart:
					require.GreaterOrEqual(t, f.startAt, idle.startAt+idle.duration+limits.calls)
					require.GreaterOrEqual(t, f.duration, limits.shortest)
					require.Less(t, f.duration, limits.longest)
					phases++
					if f.isQuiet() {
						quiet++
					}
					idle = f
				case within:
					disturbed++
				}
			}
		}
		require.Greater(t, phases, 20)
		require.Positive(t, quiet)
		require.Positive(t, disturbed)
	}
	require.Greater(t, longIdle.shortest, time.Minute)
	others := []fault{{kind: killEntry, target: 2, startAt: time.Second, duration: time.Second}}
	require.Equal(t, others, planIdle(others, longRun))
}

// Guards against callers that call in an idle phase, or not after it.
func TestCallersWaitForTheEndOfAnIdlePhase(t *testing.T) {
	s := &system{}
	require.True(t, s.awaitCalls(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	began := make(chan time.Time, 1)
	done := make(chan struct{})
	f := fault{kind: idleRestart, target: 2, duration: 200 * time.Millisecond}
	start := time.Now()
	go func() {
		defer close(done)
		s.idleThenRestart(ctx, f)
	}()
	require.Eventually(t, func() bool {
		s.idle.mu.Lock()
		defer s.idle.mu.Unlock()
		return s.idle.over != nil
	}, time.Second, time.Millisecond)
	require.True(t, s.changesPaused.Load())
	go func() {
		s.awaitCalls(ctx)
		began <- time.Now()
	}()
	require.GreaterOrEqual(t, (<-began).Sub(start), f.duration)
	require.False(t, s.changesPaused.Load())
	cancel()
	<-done
	require.False(t, s.awaitCalls(ctx))
}
