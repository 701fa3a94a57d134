package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// minGoodput is the target of docs/design.md for goodput where capacity
// suffices.
const minGoodput = 0.97

// requiredEnginePart returns the part of the pool's engines that the offered load
// needs on average, limited by memory for decoding and by rate for prefill.
func (f memoryFleet) requiredEnginePart() float64 {
	requests := f.perSecond * f.duration.Seconds()
	for _, b := range f.bursts {
		requests += (b.factor - 1) * f.perSecond * (b.to - b.from).Seconds()
	}
	perSecond := requests / f.duration.Seconds()
	batch := min(float64(f.slots), float64(f.memoryTokens)/(f.promptTokens+f.outputToken/2))
	answerSeconds := f.outputToken * (f.stepSeconds + f.slotSeconds*batch)
	return perSecond * (answerSeconds/batch + f.promptTokens/f.prefillRate) / float64(f.engines)
}

// Guards against placements that rest on an assumed speed. Engines that take six
// times as long for a token as was assumed counted as ejected for slowness, up
// to a third of them at a time, and their running requests counted with a
// multiple of their output, so that requests queued and were refused while 60%
// of the pool's memory was idle.
func TestEnginesOfUnknownSpeedAreFilled(t *testing.T) {
	for _, f := range []memoryFleet{tagoreGrown(), slowStepFleet(), fastStepFleet()} {
		require.Less(t, f.requiredEnginePart(), 0.9, "the load fits the pool")
		for seed := range uint64(3) {
			r := simulateMemory(f, seed+1).result
			require.GreaterOrEqual(t, float64(r.onTarget), minGoodput*float64(r.offered), "seed %d: %+v", seed+1, r)
		}
	}
}

// slowStepFleet has fewer and larger engines that take 20 ms a token.
func slowStepFleet() memoryFleet {
	f := tagoreGrown()
	f.engines, f.prefillEngines, f.memoryTokens, f.stepSeconds = 30, 4, 160000, 0.02
	f.perSecond, f.outputToken = 16, 400
	return f
}

// fastStepFleet has engines of the assumed speed with long outputs.
func fastStepFleet() memoryFleet {
	f := tagoreGrown()
	f.engines, f.prefillEngines, f.memoryTokens, f.slots, f.stepSeconds, f.slotSeconds = 48, 7, 72950, 12, 0.000605, 0.000008
	f.perSecond, f.outputToken = 44, 4900
	return f
}

// Guards against a pool that keeps the roles of another workload until its
// bursts come, and against a second order to an engine that is still changing
// its role: it takes the turn of an engine that could have changed.
func TestSurplusPrefillEnginesChangeBeforeTheFirstBurst(t *testing.T) {
	f := tagoreGrown()
	f.engines, f.prefillEngines = 46, 18
	needed := int(f.perSecond*f.promptTokens/f.prefillRate) + 1
	for seed := range uint64(3) {
		r := simulateMemory(f, seed+1).result
		beforeBurst := 0
		for id, times := range r.roleOrders {
			require.Len(t, times, 1, "orders to %s, which takes %v to change its role", id, f.roleSwitch)
			if times[0] < f.bursts[0].from {
				beforeBurst++
			}
		}
		// Half of the surplus may remain as headroom for a burst.
		require.GreaterOrEqual(t, beforeBurst, (f.prefillEngines-needed)/2, "seed %d", seed+1)
	}
}

// Guards against a fixed margin for the growth of outputs. It left an eighth of
// the memory idle on engines whose requests are mostly prompt, where bursts then
// queued, and was too small on engines whose requests are mostly output, which
// evicted requests and prefilled their prompts again.
func TestMarginFollowsTheSpreadOfOutputs(t *testing.T) {
	prompts := tagoreGrown()
	prompts.perSecond = 80
	outputs := fastStepFleet()
	outputs.perSecond = 60
	for _, f := range []memoryFleet{prompts, outputs} {
		for seed := range uint64(3) {
			r := simulateMemory(f, seed+1).result
			require.GreaterOrEqual(t, float64(r.onTarget), 0.9*float64(r.offered), "%v/s, seed %d", f.perSecond, seed+1)
			require.Less(t, float64(r.rejected+r.preempted), 0.005*float64(r.prefills), "%v/s, seed %d", f.perSecond, seed+1)
		}
	}
}

// Guards against refusals that come at the end of the longest wait, although the
// burst had been over the pool's capacity all along, and against callers that
// return and are refused for the second time.
func TestOverloadIsRefusedEarlyAndRarelyTwice(t *testing.T) {
	f := tagoreGrown()
	f.perSecond = 85
	f.callersReturn = true
	target := fromMillis(platformRequest("", 1, 1).TtftTargetMs)
	for seed := range uint64(3) {
		r := simulateMemory(f, seed+1).result
		early := 0
		for _, d := range r.refusedAfter {
			if d <= target {
				early++
			}
		}
		require.GreaterOrEqual(t, float64(early), 0.9*float64(len(r.refusedAfter)), "refused within the latency target, seed %d", seed+1)
		require.Less(t, float64(r.refusedAgain), 0.01*float64(r.offered), "refused twice, seed %d", seed+1)
	}
}

// Guards against role changes in a pool of thousands of engines that keep the
// pool's locks for seconds: requests would wait and the entries would take the
// scheduler for lost.
func TestRolesOfALargePoolAreBalancedQuickly(t *testing.T) {
	const engines, prefillEngines = 3000, 1000
	p := platformPool(Params{OnDemandMemory: true, BalanceRoles: true, LocalPrefill: true})
	now := 10 * time.Second
	p.Announce(platformEngines(prefillEngines, engines-prefillEngines), now)
	submitAll(p, now, minWorkloadSamples, 1000, 4900)
	p.Run(Expiry, now)
	p.Run(Roles, now)
	now += imbalanceDelay
	began := time.Now()
	orders := len(p.Run(Roles, now))
	took := time.Since(began)
	require.Greater(t, orders, prefillEngines/4, "half of the surplus changes")
	// Heartbeats of the scheduler are missed after 400 ms.
	require.Less(t, took, 400*time.Millisecond)
}
