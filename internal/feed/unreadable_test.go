package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against a record that cannot be encoded and ends every feed and all gossip.
func TestUnreadableRecordDoesNotEndFeeds(t *testing.T) {
	h := startHubs(t, 3)
	for _, hub := range h.hubs {
		r := record("\xff\xfe", 1, pb.UpstreamPhase_UPSTREAM_READY)
		r.Address = "10.0.0.2:80"
		hub.Report(r)
	}
	_, v := startSubscriber(t, h.members)
	h.hubs[2].Report(record("i-1", 1, pb.UpstreamPhase_UPSTREAM_READY))
	require.Eventually(t, func() bool { return v.phase("i-1") == pb.UpstreamPhase_UPSTREAM_READY }, 3*time.Second, 5*time.Millisecond)
	for i := range h.hubs {
		h.stores[i].set(7, true)
		h.hubs[i].StoreChanged()
	}
	require.Eventually(t, func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.version == 7
	}, 3*time.Second, 5*time.Millisecond)
	h.hubs[1].Report(record("i-1", 2, pb.UpstreamPhase_UPSTREAM_DRAINING))
	require.Eventually(t, func() bool { return v.phase("i-1") == pb.UpstreamPhase_UPSTREAM_DRAINING }, propagationTimeout, 2*time.Millisecond)
}
