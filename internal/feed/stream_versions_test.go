package feed

import (
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
