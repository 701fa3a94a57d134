package feed

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// Guards against versions of streams that pile up for a hub that is out of reach.
func TestStreamVersionsForAnUnreachableHubAreBounded(t *testing.T) {
	s := &subscription{allReports: true}
	for range 2 * maxPending {
		s.addStreamVersions([]policy.StreamVersion{{ID: "a"}})
	}
	require.LessOrEqual(t, len(s.streamVersions), maxPending)
	require.True(t, s.allStreamVersions, "the hub gets all of them when it is back")
}

// Guards against a version that is taken for the only one by a daemon that has just
// started, or that is out of contact: it may have missed others.
func TestObservedTimeIsLearnedFromOtherHubs(t *testing.T) {
	h := startHubs(t, 2)
	subscriber, v := startSubscriber(t, h.members[1:])
	h.hubs[1].Report(record("i-1", 1, pb.UpstreamPhase_UPSTREAM_READY))
	require.Eventually(t, func() bool { return v.phase("i-1") == pb.UpstreamPhase_UPSTREAM_READY }, 3*time.Second, 5*time.Millisecond)
	require.Less(t, subscriber.VersionsObserved(), 10*time.Second)
	h.hubs[0].mu.Lock()
	h.hubs[0].observedSince = -time.Minute
	h.hubs[0].mu.Unlock()
	require.Eventually(t, func() bool { return subscriber.VersionsObserved() > time.Minute }, 5*time.Second, 5*time.Millisecond)
	for _, store := range h.stores {
		store.set(1, false)
	}
	require.Eventually(t, func() bool { return subscriber.VersionsObserved() == 0 }, electionPeriod+2*heartbeatTimeout, 5*time.Millisecond)
}

// Guards against a stream that goes back to weights that it has left because the hubs of the
// entry that takes it up have not heard of the change yet.
func TestStreamsTakenUpBeforeHubsHeardOfAChangeOfWeights(t *testing.T) {
	h := startHubs(t, 5)
	first, _ := startSubscriber(t, h.members[:2])
	second, _ := startSubscriber(t, h.members[3:])
	attached := func(s *Subscriber) func() bool {
		return func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.streams) == hubsPerSubscriber
		}
	}
	require.Eventually(t, attached(first), 3*time.Second, 5*time.Millisecond)
	require.Eventually(t, attached(second), 3*time.Second, 5*time.Millisecond)
	ctx := t.Context()
	run := func(weights string, number int) policy.StreamVersion {
		return policy.StreamVersion{ID: "a", Versions: policy.RunVersions{Service: "s", Software: "v1", Model: "m", Weights: weights}, Attempt: number}
	}
	// The hubs of the two entries hear nothing of each other.
	for _, i := range []int{0, 1} {
		for _, j := range []int{3, 4} {
			h.hubs[i].opts.Peers.Client(h.members[j]).Close()
			h.hubs[j].opts.Peers.Client(h.members[i]).Close()
		}
	}
	require.True(t, second.RecordStreamVersion(ctx, run("1", 1)))
	for number := 2; number < 30; number++ {
		weights := strconv.Itoa(number)
		require.True(t, first.RecordStreamVersion(ctx, run(weights, number)))
		v, known := second.StreamVersion(ctx, "a")
		require.True(t, known)
		require.Equal(t, weights, v.Versions.Weights, "the stream goes on at weights that it has left")
	}
	// Hubs that hear nothing of each other keep nothing for sure.
	for _, hub := range h.hubs {
		hub.opts.Peers.Close()
	}
	require.False(t, first.RecordStreamVersion(ctx, run("x", 100)))
}
