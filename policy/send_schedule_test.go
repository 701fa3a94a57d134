package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mostInWindow returns the largest number of times in a window of four seconds.
func mostInWindow(times []time.Duration) int {
	slices.Sort(times)
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against more requests than an upstream takes in some window: with hundreds of
// daemons, permits that are used late, leaders that change and are lost for a while, and
// daemons that all lose the leader at the same moment.
func TestPermitsStayWithinTheLimitInEveryWindow(t *testing.T) {
	for _, limit := range []float64{0.1, 0.23, 1, 3.4, 12, 60} {
		for _, daemons := range []int{7, 75, 300} {
			for seed := range uint64(4) {
				random := rand.New(rand.NewPCG(seed, uint64(daemons)))
				var leader SendSchedule
				own := make([]SendSchedule, daemons)
				var sent []time.Duration
				led, changedAt := true, time.Duration(0)
				demand := 40 * limit
				for now := time.Minute; now < 3*time.Minute; now += time.Duration(float64(time.Second) * random.ExpFloat64() / demand) {
					if now-changedAt > time.Second && random.Float64() < 0.5/demand {
						// The next leader knows nothing of the permits of the last one.
						led, leader, changedAt = !led, SendSchedule{}, now
					}
					i := random.IntN(daemons)
					var wait time.Duration
					var ok bool
					// Some daemons do not reach a leader that others reach.
					if led && i%2 == 0 {
						wait, ok = leader.Reserve(limit, 500*time.Millisecond, now)
						wait += time.Duration(random.Float64() * float64(PermitTTL))
					} else {
						wait, ok = own[i].ReserveShare(limit, daemons, random.Float64(), 0, now)
					}
					if ok {
						sent = append(sent, now+wait)
					}
				}
				require.LessOrEqual(t, float64(mostInWindow(sent)), 6*limit+5, "limit %g, %d daemons, seed %d", limit, daemons, seed)
				require.Greater(t, float64(len(sent)), 0.3*limit*120, "limit %g, %d daemons, seed %d", limit, daemons, seed)
			}
		}
	}
}
