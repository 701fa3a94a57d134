package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// Guards against an earlier answer that replaces the record of a stream which was taken up
// since: the take-up, at the same versions, was not passed on to the other hubs.
func TestTakeUpsReachAllHubs(t *testing.T) {
	h := startHubs(t, 2)
	known := func(i int) policy.StreamVersion {
		h.hubs[i].mu.Lock()
		defer h.hubs[i].mu.Unlock()
		v, _ := h.hubs[i].streamVersions.Get("a", h.hubs[i].now())
		return v
	}
	report := func(hub int, number uint32, weights string) {
		h.hubs[hub].mergeStreamVersions([]*pb.StreamVersion{{Id: "a", Service: "s", Version: "v1", Model: "m", Weights: weights, Attempt: number}}, true)
	}
	report(0, 1, "1")
	require.Eventually(t, func() bool { return known(1).Attempt == 1 }, 3*time.Second, 5*time.Millisecond)
	time.Sleep(5 * time.Millisecond)
	report(0, 1<<10+1, "1")
	require.Eventually(t, func() bool { return known(1).Attempt == 1<<10+1 }, 3*time.Second, 5*time.Millisecond)
	report(1, 2, "2")
	require.Equal(t, "1", known(1).Versions.Weights)
}
