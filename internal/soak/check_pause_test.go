package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// Guards against a check that never fails, or that blames an entry for requests that were on
// their way, or that it sent after a restart.
func TestPauseCheck(t *testing.T) {
	start := time.Now()
	exceeded := func(offsets []time.Duration, interruptions ...*entrySpan) (n int) {
		c := &pauseCheck{interruptions: interruptions}
		c.sent("a", 1)
		for _, at := range offsets {
			if c.arrived(standin.Run{ID: "a", Runner: "i-1", At: start.Add(at), PausedUntil: start.Add(3 * time.Second)}) {
				n++
			}
		}
		return n
	}
	late := []time.Duration{0, 600 * time.Millisecond, time.Second, 2 * time.Second, 2100 * time.Millisecond}
	require.Equal(t, 1, exceeded(late))
	require.Zero(t, exceeded(late[:3]), "two are allowed")
	require.Zero(t, exceeded([]time.Duration{0, 1, 2, 3, pauseWindow - 1, pauseWindow, pauseWindow}))
	restart := &entrySpan{entries: []int{1}, from: start.Add(100 * time.Millisecond), to: start.Add(300 * time.Millisecond)}
	require.Zero(t, exceeded(late, restart))
	restart.entries = []int{0}
	require.Equal(t, 1, exceeded(late, restart))
}
