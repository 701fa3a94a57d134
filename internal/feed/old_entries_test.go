package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/transport"
	"godwitward.example/godwitward/policy"
)

// onlySoftware returns what an entry of bb1a31f takes for the only software version of each
// service.
func onlySoftware(list []*pb.ServiceVersion) map[string]string {
	only, several := map[string]string{}, map[string]bool{}
	for _, m := range list {
		if known, ok := only[m.Service]; ok && known != m.Version {
			several[m.Service] = true
		}
		only[m.Service] = m.Version
	}
	for service := range several {
		delete(only, service)
	}
	return only
}

// Guards against entries of earlier builds that join the text of several services or weights,
// which they don't tell apart, because the hub lists one software version for each service.
func TestOldEntriesDoNotTakeSeveralRunsForOne(t *testing.T) {
	h := startHubs(t, 2)
	h.hubs[0].mu.Lock()
	h.hubs[0].routes.current = policy.ResumableRoutes{{Host: "h", Prefix: "/a/"}: {"shared", "other"}, {Host: "h", Prefix: "/b/"}: {"weights"}, {Host: "h", Prefix: "/c/"}: {"sound"}}
	h.hubs[0].mu.Unlock()
	weights := map[string][]string{"shared": {"1"}, "other": {"1"}, "weights": {"1", "2"}, "sound": {"1"}}
	for service, versions := range weights {
		for _, w := range versions {
			id := service + w
			h.hubs[0].Report(&pb.UpstreamRecord{Id: id, Service: service, Address: id, BornMs: 1, Sequence: 1, Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: "v1", Models: []string{"m"}, Weights: []string{w}})
		}
	}
	stated := func(opts transport.Options) []*pb.ServiceVersion {
		listed := make(chan []*pb.ServiceVersion, 1)
		s := Subscribe(SubscriberOptions{
			Seeds: func() []string { return h.members[:1] }, Logger: &log.Logger{Level: log.PanicLevel}, Transport: opts,
			OnDocument: func(uint64, []byte) {}, OnUpstreams: func([]*pb.UpstreamRecord) {},
			OnServiceVersions: func(list []*pb.ServiceVersion) {
				select {
				case listed <- list:
				default:
				}
			},
		})
		defer s.Stop()
		return <-listed
	}
	old := stated(transport.Options{OmitLevel: true})
	require.Equal(t, map[string]string{"sound": "v1"}, onlySoftware(old))
	// Builds that state no level and tell runs apart must not refuse more for it.
	var history policy.VersionHistory
	for _, m := range old {
		if v, at := fleet.DecodeServiceVersion(m, 0); v.Service == "shared" {
			history.Seen(v, at)
		}
	}
	only, known := history.Only("m", 0, time.Hour)
	require.True(t, known)
	require.Equal(t, policy.RunVersions{Service: "shared", Software: "v1", Model: "m", Weights: "1"}, only)
	require.Len(t, stated(transport.Options{}), 5, "entries of this build are told of no others")
}

// Guards against streams that entries of earlier builds can't take up at hubs of this build,
// and against one that they join with another run of the software.
func TestOldEntriesAreToldTheSoftwareOfSoundStreams(t *testing.T) {
	h := startHubs(t, 1)
	hub := h.hubs[0]
	run := policy.RunVersions{Service: "s", Software: "v1", Model: "m", Weights: "1"}
	hub.mergeStreamVersions([]*pb.StreamVersion{fleet.EncodeStreamVersion(policy.StreamVersion{ID: "a", Versions: run, Attempt: 1}, 0)}, true)
	client := transport.NewClient(h.members[0], transport.Options{OmitLevel: true})
	defer client.Close()
	ask := func(id string) (known bool, software string) {
		resp := &pb.StreamVersionResponse{}
		require.NoError(t, client.Call(t.Context(), transport.MethodStreamVersion, &pb.StreamVersionRequest{Id: id}, resp))
		return resp.SoftwareKnown, resp.SoftwareVersion
	}
	known, software := ask("a")
	require.True(t, known)
	require.Equal(t, "v1", software)
	known, _ = ask("b")
	require.False(t, known)
	other := run
	other.Weights = "2"
	hub.mu.Lock()
	hub.seeVersions([]policy.RunVersions{other}, hub.now())
	hub.mu.Unlock()
	known, _ = ask("a")
	require.False(t, known, "an engine with the software may have other weights")
}

// BenchmarkUpdateForEarlierEntry measures for how long the hub is locked for one update.
func BenchmarkUpdateForEarlierEntry(b *testing.B) {
	for _, services := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			h := &Hub{}
			h.byService = map[string]*policy.VersionHistory{}
			h.routes.current = policy.ResumableRoutes{}
			for i := range services {
				h.byService[fmt.Sprint("s", i)] = &policy.VersionHistory{}
			}
			for i := range 4 * services {
				h.routes.current[policy.RouteKey{Host: "h", Prefix: fmt.Sprint("/", i)}] = []string{fmt.Sprint("s", i%services), fmt.Sprint("s", (i*7+1)%services)}
			}
			for b.Loop() {
				h.addOtherSoftware(&pb.FeedUpdate{})
			}
		})
	}
}
