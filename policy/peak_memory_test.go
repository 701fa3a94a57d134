package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a forecast that sums the final sizes or ignores growth.
func TestPeakMemoryOfStaggeredAnswers(t *testing.T) {
	require.Zero(t, PeakMemory(nil))
	require.Equal(t, 150.0, PeakMemory([]RequestGrowth{{UsedTokens: 100, RemainingTokens: 50}}))
	// The first ends after 10 tokens with 110+110 in use; the second grows on alone.
	require.Equal(t, 220.0, PeakMemory([]RequestGrowth{{UsedTokens: 100, RemainingTokens: 10}, {UsedTokens: 100, RemainingTokens: 50}}))
	require.Equal(t, 300.0, PeakMemory([]RequestGrowth{{UsedTokens: 100, RemainingTokens: 50}, {UsedTokens: 100, RemainingTokens: 50}}))
}

// The forecast must match a step-by-step simulation of the same growth.
func TestPeakMemoryMatchesSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		requests := make([]RequestGrowth, n)
		for i := range requests {
			requests[i] = RequestGrowth{UsedTokens: float64(rapid.IntRange(1, 50).Draw(t, "held")), RemainingTokens: float64(rapid.IntRange(0, 40).Draw(t, "left"))}
		}
		peak := 0.0
		for step := 0.0; step <= 40; step++ {
			sum := 0.0
			for _, a := range requests {
				if a.RemainingTokens >= step {
					sum += a.UsedTokens + step
				}
			}
			peak = max(peak, sum)
		}
		require.InDelta(t, peak, PeakMemory(requests), 1e-9)
	})
}
