package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a split that leaves the engines of one role idle while those of
// the other are full, and against a pool whose prefill depends on one engine.
func TestTargetPrefillEnginesFollowsWorkload(t *testing.T) {
	typical := Workload{PrefillSeconds: 0.094, DecodeSeconds: 3.4, Batch: 12}
	require.Equal(t, 2, typical.TargetPrefillEngines(9, 1))
	require.Equal(t, 7, typical.TargetPrefillEngines(28, 1))
	prefillHeavy := Workload{PrefillSeconds: 0.5, DecodeSeconds: 1, Batch: 12}
	require.Equal(t, 8, prefillHeavy.TargetPrefillEngines(9, 1))
	decodeHeavy := Workload{PrefillSeconds: 0.01, DecodeSeconds: 5, Batch: 10}
	require.Equal(t, 2, decodeHeavy.TargetPrefillEngines(8, 1), "one prefill engine would stop the pool when it fails")
	require.Equal(t, 1, decodeHeavy.TargetPrefillEngines(3, 1))
	require.Zero(t, (&Workload{}).TargetPrefillEngines(9, 1))
	require.Zero(t, typical.TargetPrefillEngines(1, 1))
}

// Guards against an engine that switches roles back and forth, unavailable for
// seconds each time, while the workload varies around the middle of two numbers.
func TestTargetPrefillEnginesHysteresis(t *testing.T) {
	for _, seconds := range []float64{0.135, 0.14, 0.15} {
		w := Workload{PrefillSeconds: seconds, DecodeSeconds: 3.4, Batch: 10}
		require.Equal(t, 2, w.TargetPrefillEngines(8, 2))
		require.Equal(t, 3, w.TargetPrefillEngines(8, 3))
	}
	shifted := Workload{PrefillSeconds: 0.25, DecodeSeconds: 3.4, Batch: 10}
	require.Equal(t, 4, shifted.TargetPrefillEngines(8, 2))
}
