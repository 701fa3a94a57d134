package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that goes on at versions which its process has left in the middle
// of the run, and against streams that are refused long after such a change.
func TestStreamsRecordedBeforeAChangeMayHaveChanged(t *testing.T) {
	var l LeftVersions
	old, other := RunVersions{Service: "s", Weights: "1"}, RunVersions{Service: "s", Weights: "2"}
	require.False(t, l.MayHaveChanged(old, 0))
	l.Left(old, 10*time.Second)
	require.True(t, l.MayHaveChanged(old, 9*time.Second))
	require.True(t, l.MayHaveChanged(old, 12*time.Second), "an entry hears of the change later")
	require.False(t, l.MayHaveChanged(old, 14*time.Second))
	require.False(t, l.MayHaveChanged(other, 9*time.Second))
	l.Left(other, 2*time.Minute)
	require.Len(t, l.at, 1, "changes count for as long as a stream is remembered")
}
