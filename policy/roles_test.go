package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a split that leaves one side idle while the other is full, and
// against a pool whose prompts depend on a single engine.
func TestPrefillEnginesFollowTheWork(t *testing.T) {
	usual := Mix{PrefillSeconds: 0.094, DecodeSeconds: 3.4, Batch: 12}
	require.Equal(t, 2, usual.PrefillEngines(9))
	require.Equal(t, 7, usual.PrefillEngines(28))
	prompts := Mix{PrefillSeconds: 0.5, DecodeSeconds: 1, Batch: 12}
	require.Equal(t, 8, prompts.PrefillEngines(9))
	answers := Mix{PrefillSeconds: 0.01, DecodeSeconds: 5, Batch: 10}
	require.Equal(t, 2, answers.PrefillEngines(8), "one prefill engine would stop the pool when it fails")
	require.Equal(t, 1, answers.PrefillEngines(3))
	require.Zero(t, (&Mix{}).PrefillEngines(9))
	require.Zero(t, usual.PrefillEngines(1))
}
