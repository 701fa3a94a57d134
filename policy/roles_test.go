package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a split that leaves one side idle while the other is full, and
// against a pool whose prompts depend on a single engine.
func TestPrefillEnginesFollowTheWork(t *testing.T) {
	usual := Mix{PrefillSeconds: 0.094, DecodeSeconds: 3.4, Batch: 12}
	require.Equal(t, 2, usual.PrefillEngines(9, 1))
	require.Equal(t, 7, usual.PrefillEngines(28, 1))
	prompts := Mix{PrefillSeconds: 0.5, DecodeSeconds: 1, Batch: 12}
	require.Equal(t, 8, prompts.PrefillEngines(9, 1))
	answers := Mix{PrefillSeconds: 0.01, DecodeSeconds: 5, Batch: 10}
	require.Equal(t, 2, answers.PrefillEngines(8, 1), "one prefill engine would stop the pool when it fails")
	require.Equal(t, 1, answers.PrefillEngines(3, 1))
	require.Zero(t, (&Mix{}).PrefillEngines(9, 1))
	require.Zero(t, usual.PrefillEngines(1, 1))
}

// Guards against an engine that changes its role to and fro, seconds away each
// time, while the learned mix wanders around the middle of two numbers.
func TestPrefillEnginesStayAtTheMiddle(t *testing.T) {
	for _, seconds := range []float64{0.135, 0.14, 0.15} {
		m := Mix{PrefillSeconds: seconds, DecodeSeconds: 3.4, Batch: 10}
		require.Equal(t, 2, m.PrefillEngines(8, 2))
		require.Equal(t, 3, m.PrefillEngines(8, 3))
	}
	more := Mix{PrefillSeconds: 0.25, DecodeSeconds: 3.4, Batch: 10}
	require.Equal(t, 4, more.PrefillEngines(8, 2))
}
