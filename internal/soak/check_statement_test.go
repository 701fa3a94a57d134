package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// Guards against a check that never fails, or that blames an entry for requests that were on
// their way, or that it sent after a restart.
func TestPauseAndLimitCheck(t *testing.T) {
	start := time.Now()
	pausedUntil, limit := start.Add(3*time.Second), 0.0
	exceeded := func(offsets []time.Duration, interruptions ...*entrySpan) (n int) {
		c := &statementCheck{interruptions: interruptions}
		c.sent("a", 1)
		for _, at := range offsets {
			if c.arrived(standin.Run{ID: "a", Runner: "i-1", At: start.Add(at), PausedUntil: pausedUntil, Limit: limit}) != "" {
				n++
			}
		}
		return n
	}
	late := []time.Duration{0, 600 * time.Millisecond, time.Second, 2 * time.Second, 2100 * time.Millisecond}
	require.Equal(t, 1, exceeded(late))
	require.Zero(t, exceeded(late[:3]), "two are allowed")
	require.Zero(t, exceeded([]time.Duration{0, 1, 2, 3, statementDelay - 1, statementDelay, statementDelay}))
	restart := &entrySpan{entries: []int{1}, from: start.Add(100 * time.Millisecond), to: start.Add(300 * time.Millisecond)}
	require.Zero(t, exceeded(late, restart))
	restart.entries = []int{0}
	require.Equal(t, 1, exceeded(late, restart))

	pausedUntil, limit = time.Time{}, 2
	many := func(n int, within time.Duration) (offsets []time.Duration) {
		offsets = append(offsets, 0)
		for i := range n {
			offsets = append(offsets, statementDelay+within*time.Duration(i)/time.Duration(n))
		}
		return offsets
	}
	require.Equal(t, 1, exceeded(many(18, 3*time.Second)), "17 are allowed in 4 s")
	require.Zero(t, exceeded(many(17, 3*time.Second)))
	require.Zero(t, exceeded(many(30, 8*time.Second)))
	restart.entries = []int{1}
	require.Zero(t, exceeded(many(18, 3*time.Second), restart))
}

// Guards against a check that never fails, or that counts crashes whose evidence was lost.
func TestDeadlyRequestCheck(t *testing.T) {
	c := &deadlyCheck{}
	require.True(t, c.begin("/a"))
	require.False(t, c.begin("/b"), "one at a time")
	for range allowedCrashes {
		c.crashed()
	}
	calm := func(time.Time, time.Time) bool { return false }
	require.Empty(t, c.exceeded(calm))
	c.crashed()
	require.Equal(t, []string{"/a"}, c.exceeded(calm))
	require.Empty(t, c.exceeded(func(from, to time.Time) bool { return !from.After(to) }))
	c.end()
	require.True(t, c.begin("/b"))
}
