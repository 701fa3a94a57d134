package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a late response that brings an ended limit back or lifts a newer one.
func TestLateResponseDoesNotChangeAStatedLimit(t *testing.T) {
	var s UpstreamStatement
	require.True(t, s.Update(UpstreamStatement{Limit: 3.5, SentAt: 10 * time.Second}))
	require.False(t, s.Update(UpstreamStatement{SentAt: 9 * time.Second}))
	require.Equal(t, 3.5, s.Limit)
	require.True(t, s.Update(UpstreamStatement{SentAt: 11 * time.Second}))
	require.False(t, s.Update(UpstreamStatement{Limit: 3.5, SentAt: 10900 * time.Millisecond}))
	require.Zero(t, s.Limit)
}

// Guards against a process that leaves and is brought back by an older response, or
// whose late notice is ignored.
func TestProcessThatLeavesDoesNotReturn(t *testing.T) {
	var s UpstreamStatement
	require.False(t, s.Update(UpstreamStatement{SentAt: 10 * time.Second}))
	require.True(t, s.Update(UpstreamStatement{Leaving: true, SentAt: 9 * time.Second}))
	require.False(t, s.Update(UpstreamStatement{SentAt: 11 * time.Second}))
	require.True(t, s.Leaving)
}

// Guards against a limit of zero that no request would ever end.
func TestLimitOfZeroLeavesRoomForTrials(t *testing.T) {
	require.Equal(t, minStatedLimit, StatedLimit(0))
}
