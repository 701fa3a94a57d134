package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent to an engine in a role change until it is over.
// Replays 6 s in which it rejects all calls, with a request every 40 ms whose answer is
// reported 20 ms later, and 3 s after it.
func TestFewRequestsAreSentToAnEngineThatChangesItsRole(t *testing.T) {
	const interval, answer, change = 40 * time.Millisecond, 20 * time.Millisecond, 6 * time.Second
	var r PrefillRejections
	rejected, firstAccepted := 0, time.Duration(0)
	for now := time.Duration(0); now < change+3*time.Second; now += interval {
		if !r.Usable(now) {
			continue
		}
		r.Granted(now)
		switch {
		case now+answer < change:
			r.Rejected(now + answer)
			rejected++
		case firstAccepted == 0:
			r.Accepted(now + answer)
			firstAccepted = now
		}
	}
	require.LessOrEqual(t, rejected, 6, "150 requests arrived")
	require.Less(t, firstAccepted, change+maxRejectionBackoff+interval)
	require.True(t, r.Usable(change+3*time.Second))
}

// Guards against several requests at once that try an engine whose backoff has ended.
func TestOneRequestAtATimeTriesAnEngineThatRejects(t *testing.T) {
	var r PrefillRejections
	require.False(t, r.Granted(0), "an engine that rejects nothing takes many")
	r.Rejected(0)
	require.False(t, r.Usable(firstRejectionBackoff-1))
	require.True(t, r.Usable(firstRejectionBackoff))
	require.True(t, r.Granted(firstRejectionBackoff))
	require.False(t, r.Usable(firstRejectionBackoff+1))
	require.True(t, r.Accepted(firstRejectionBackoff+2))
	require.True(t, r.Usable(firstRejectionBackoff+2))
}
