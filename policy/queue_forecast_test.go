package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a forecast for yielding requests that ignores those who overtake
// them, is negative, or is never reached when a burst exceeds the capacity.
func TestYieldingRequestsWaitForWhatNewOnesLeave(t *testing.T) {
	calm := QueueForecast{ReleaseRate: 100, ArrivalRate: 60}
	require.Equal(t, 2*time.Second, calm.Wait(200, false))
	require.Equal(t, 5*time.Second, calm.Wait(200, true))
	burst := QueueForecast{ReleaseRate: 100, ArrivalRate: 180}
	require.Equal(t, 2*time.Second, burst.Wait(200, false))
	require.Equal(t, 40*time.Second, burst.Wait(200, true))
	require.Zero(t, burst.Wait(0, true))
	require.Zero(t, QueueForecast{}.Wait(200, true), "nothing is known yet")
}
