package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that returns after a refusal and is treated as a new
// one, and against new callers that are taken for returning ones.
func TestReturningCallersHaveLessTimeLeft(t *testing.T) {
	var b callerBudgets
	require.Zero(t, b.waitedBefore("r", 14*time.Second))
	require.Zero(t, b.waitedBefore("r", 14*time.Second))
	require.Zero(t, b.waitedBefore("r", 13900*time.Millisecond), "transmission takes some time")
	require.Equal(t, 3*time.Second, b.waitedBefore("r", 11*time.Second))
	require.Zero(t, b.waitedBefore("r", 0), "no budget is stated")
	require.Zero(t, b.waitedBefore("other", time.Second))
	b.keep(&Config{Routes: []Route{{Name: "other"}}})
	require.Zero(t, b.waitedBefore("r", 2*time.Second), "the route was forgotten")
	require.Equal(t, 500*time.Millisecond, b.waitedBefore("other", 500*time.Millisecond))
}

// Guards against callers that all return at the same moment, and against a delay
// that is longer than they wait.
func TestRetryAfterIsSpreadWithinWhatCallersHonour(t *testing.T) {
	x := &exchange{callerDeadline: time.Now().Add(12 * time.Second)}
	low, high := time.Hour, time.Duration(0)
	for range 200 {
		d := x.capRetryAfter(time.Minute)
		require.LessOrEqual(t, d, 4*time.Second)
		require.Greater(t, d, 3*time.Second)
		low, high = min(low, d), max(high, d)
	}
	require.Greater(t, high-low, 200*time.Millisecond)
}
