package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a late response that brings an ended limit back or lifts a newer one.
func TestLateResponseDoesNotChangeAStatedLimit(t *testing.T) {
	var l StatedLimit
	require.True(t, l.Update(NewStatedLimit(3.5, 10*time.Second)))
	require.False(t, l.Update(NoStatedLimit(9*time.Second)))
	require.Equal(t, 3.5, l.PerSecond)
	require.True(t, l.Update(NoStatedLimit(11*time.Second)))
	require.False(t, l.Update(NewStatedLimit(3.5, 10900*time.Millisecond)))
	require.Zero(t, l.PerSecond)
}

// Guards against a limit of zero that no request would ever end.
func TestLimitOfZeroLeavesRoomForTrials(t *testing.T) {
	require.Equal(t, minStatedLimit, NewStatedLimit(0, 0).PerSecond)
}

// Guards against requests that are forgotten before the window has passed them.
func TestWindowCountCoversFourSeconds(t *testing.T) {
	var c WindowCount
	c.Add(0)
	c.Add(2 * time.Second)
	require.Equal(t, 2, c.Count(3900*time.Millisecond))
	require.Equal(t, 1, c.Count(4*time.Second))
	require.Zero(t, c.Count(10*time.Second))
}
