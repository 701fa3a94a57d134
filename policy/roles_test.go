package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a split that leaves one side idle while the other is full, and
// against a pool whose prompts depend on a single engine.
func TestPrefillEnginesFollowTheWork(t *testing.T) {
	usual := Workload{PrefillSeconds: 0.094, DecodeSeconds: 3.4, Batch: 12}
	require.Equal(t, 2, usual.TargetPrefillEngines(9, 1))
	require.Equal(t, 7, usual.TargetPrefillEngines(28, 1))
	prompts := Workload{PrefillSeconds: 0.5, DecodeSeconds: 1, Batch: 12}
	require.Equal(t, 8, prompts.TargetPrefillEngines(9, 1))
	answers := Workload{PrefillSeconds: 0.01, DecodeSeconds: 5, Batch: 10}
	require.Equal(t, 2, answers.TargetPrefillEngines(8, 1), "one prefill engine would stop the pool when it fails")
	require.Equal(t, 1, answers.TargetPrefillEngines(3, 1))
	require.Zero(t, (&Workload{}).TargetPrefillEngines(9, 1))
	require.Zero(t, usual.TargetPrefillEngines(1, 1))
}

// Guards against an engine that changes its role to and fro, seconds away each
// time, while the learned mix wanders around the middle of two numbers.
func TestPrefillEnginesStayAtTheMiddle(t *testing.T) {
	for _, seconds := range []float64{0.135, 0.14, 0.15} {
		m := Workload{PrefillSeconds: seconds, DecodeSeconds: 3.4, Batch: 10}
		require.Equal(t, 2, m.TargetPrefillEngines(8, 2))
		require.Equal(t, 3, m.TargetPrefillEngines(8, 3))
	}
	more := Workload{PrefillSeconds: 0.25, DecodeSeconds: 3.4, Batch: 10}
	require.Equal(t, 4, more.TargetPrefillEngines(8, 2))
}
