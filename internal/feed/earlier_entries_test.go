package feed

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/transport"
)

// earlierEntry is attached to a hub as an entry of a build without levels, and keeps what it
// reads of the hub's updates.
type earlierEntry struct {
	st *transport.Stream

	mu        sync.Mutex
	upstreams map[string]*pb.UpstreamRecord
	update    *pb.FeedUpdate
}

func attachEarlierEntry(t *testing.T, hub string, req *pb.FeedRequest) *earlierEntry {
	client := transport.NewClient(hub, transport.Options{OmitLevel: true, Self: &pb.Hello{Vm: "entry"}})
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	st, err := client.Open(ctx, transport.MethodFeed)
	require.NoError(t, err)
	require.NoError(t, st.Send(req))
	e := &earlierEntry{st: st, upstreams: map[string]*pb.UpstreamRecord{}}
	go func() {
		for {
			u := &pb.FeedUpdate{}
			if st.Recv(u) != nil {
				return
			}
			e.mu.Lock()
			e.update = u
			for _, r := range u.Upstreams {
				e.upstreams[r.Id] = r
			}
			e.mu.Unlock()
		}
	}()
	return e
}

// see returns what is known of an upstream, nil if nothing is, and the newest update.
func (e *earlierEntry) see(id string) (*pb.UpstreamRecord, *pb.FeedUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.upstreams[id], e.update
}

func (e *earlierEntry) version(id string) string {
	r, _ := e.see(id)
	return r.GetSoftwareVersion()
}

func engineRecord(id, service, weights string, stage pb.EngineStage, sequence uint64) *pb.UpstreamRecord {
	return &pb.UpstreamRecord{
		Id: id, Service: service, Address: id + ":80", BornMs: 1, Sequence: sequence, Stage: stage,
		Phase: pb.UpstreamPhase_UPSTREAM_READY, SoftwareVersion: "v1", Models: []string{"m"}, Weights: []string{weights},
	}
}

func reportEngines(h *Hub, sequence uint64) {
	decode, prefill := pb.EngineStage_ENGINE_STAGE_DECODE, pb.EngineStage_ENGINE_STAGE_PREFILL
	h.Report(engineRecord("a", "llm", "7", decode, sequence))
	h.Report(engineRecord("same", "llm", "7", decode, sequence))
	h.Report(engineRecord("other-weights", "llm", "8", decode, sequence))
	h.Report(engineRecord("other-service", "llm-2", "7", decode, sequence))
	h.Report(engineRecord("prefill", "llm", "8", prefill, sequence))
}

// Guards against streams that an entry of an earlier build, which compares software versions
// only, joins from several services or weights, and against its prefill results of other
// weights.
func TestEntriesThatCompareSoftwareOnlyJoinNoStreams(t *testing.T) {
	h := startHubs(t, 1)
	h.hubs[0].mu.Lock()
	h.hubs[0].observedSince = -time.Hour
	h.hubs[0].mu.Unlock()
	reportEngines(h.hubs[0], 1)
	e := attachEarlierEntry(t, h.members[0], &pb.FeedRequest{StreamVersions: []*pb.StreamVersion{{Id: "r", Version: "v1", Attempt: 1}}})
	require.Eventually(t, func() bool { return e.version("prefill") != "" }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, e.version("a"), e.version("same"))
	require.NotEqual(t, e.version("a"), e.version("other-weights"))
	require.NotEqual(t, e.version("a"), e.version("other-service"))
	prefill, update := e.see("prefill")
	require.Equal(t, pb.EngineStage_ENGINE_STAGE_NONE, prefill.Stage, "only schedulers choose prefill engines for it")
	require.Zero(t, update.ObservedMs, "it does not know which versions streams may have begun at")
	require.Empty(t, update.ServiceVersions)
	for _, r := range h.hubs[0].Records() {
		require.Equal(t, "v1", r.SoftwareVersion, "other daemons get the records as they are")
	}
}

// Guards against entries that are found to compare software versions only when they report
// their first stream, and go on with what they were told before.
func TestEntriesAreToldAnewOnceTheyAreFoundToCompareSoftwareOnly(t *testing.T) {
	h := startHubs(t, 1)
	reportEngines(h.hubs[0], 1)
	e := attachEarlierEntry(t, h.members[0], &pb.FeedRequest{})
	require.Eventually(t, func() bool { return e.version("a") == "v1" }, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, e.st.Send(&pb.OutcomeReport{StreamVersions: []*pb.StreamVersion{{Id: "r", Version: "v1", Attempt: 1}}}))
	// The entry takes over only reports that are newer than those it has.
	require.Eventually(t, func() bool {
		reportEngines(h.hubs[0], uint64(time.Now().UnixNano()))
		time.Sleep(50 * time.Millisecond)
		a, _ := e.see("a")
		return a.Sequence > 1 && a.SoftwareVersion != "v1"
	}, 5*time.Second, 5*time.Millisecond)
	require.NotEqual(t, e.version("a"), e.version("other-weights"))
}

// Guards against records that are changed for entries which state no level either, but keep
// all versions of a run.
func TestEntriesThatCompareAllVersionsAreToldThemAsTheyAre(t *testing.T) {
	h := startHubs(t, 1)
	reportEngines(h.hubs[0], 1)
	e := attachEarlierEntry(t, h.members[0], &pb.FeedRequest{StreamVersions: []*pb.StreamVersion{{Id: "r", Service: "llm", Version: "v1", Weights: "7", Attempt: 1}}})
	require.Eventually(t, func() bool { return e.version("prefill") != "" }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, "v1", e.version("a"))
	prefill, update := e.see("prefill")
	require.Equal(t, pb.EngineStage_ENGINE_STAGE_PREFILL, prefill.Stage)
	require.NotEmpty(t, update.ServiceVersions)
}
