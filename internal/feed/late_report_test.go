package feed

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// processRecord returns a report of one start of i-1.
func processRecord(bornMs int64, software string) *pb.UpstreamRecord {
	r := record("i-1", 1, pb.UpstreamPhase_UPSTREAM_READY)
	r.BornMs, r.SoftwareVersion = bornMs, software
	return r
}

// Guards against streams without a record that go on at the software of the only process that
// has reported in time, although they began at its predecessor.
func TestVersionsOfReportsThatArriveAfterThoseOfASuccessor(t *testing.T) {
	h := startHubs(t, 1).hubs[0]
	h.Report(processRecord(2, "v2"))
	h.Report(processRecord(1, "v1"))
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := h.byService["s"].Versions(h.now())
	require.Contains(t, seen, policy.RunVersions{Service: "s", Software: "v1"})
	require.EqualValues(t, 2, h.table.Get("i-1").BornMs)
}

// Guards against twice the stated limit at an upstream that has started again under its id, while
// some entries still have the record of its predecessor.
func TestPermitsForAPredecessorCountForTheProcess(t *testing.T) {
	cluster := startHubs(t, 1)
	cluster.stores[0].lead()
	h := cluster.hubs[0]
	h.Report(processRecord(2, "v2"))
	permits := 0
	for _, bornMs := range []int64{1, 2, 1, 2} {
		resp, err := h.serveSendPermit(t.Context(), &pb.SendPermitRequest{Upstreams: []*pb.UpstreamStatement{{Id: "i-1", BornMs: bornMs, Limit: 0.1}}})
		require.NoError(t, err)
		if resp.Id != "" {
			permits++
		}
	}
	require.Equal(t, 1, permits)
}

// Guards against an entry that takes a stream without a known record up at the only version that
// has reported, while its hub knows already that an unreported process has begun streams.
func TestUnreportedProcessesReachEntriesAtOnce(t *testing.T) {
	h := startHubs(t, 1).hubs[0]
	h.Report(processRecord(1, "v1"))
	entry := h.subscribe(&pb.Hello{Vm: "entry-1"})
	defer h.unsubscribe(entry)
	merges := map[string]func(version string){
		"record of an entry": func(version string) {
			h.mergeStreamVersions([]*pb.StreamVersion{{Id: version, Service: "s", Version: version}}, true)
		},
		"record of a hub": func(version string) {
			h.mergeStreamVersions([]*pb.StreamVersion{{Id: version, Service: "s", Version: version}}, false)
		},
		"versions of a hub": func(version string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.mergeHistory(&pb.Gossip{ServiceVersions: []*pb.ServiceVersion{{Service: "s", Version: version}}})
		},
	}
	bornMs := int64(1)
	for name, merge := range merges {
		bornMs++
		<-entry.wake
		merge(fleet.ProcessText("i-1", bornMs))
		require.Len(t, entry.wake, 1, name)
	}
}

// Guards against a hub that knows one version only although another process, which ended before
// its first report, has begun streams.
func TestVersionsOfAProcessThatEndedUnreportedAreUnknown(t *testing.T) {
	h := startHubs(t, 1).hubs[0]
	h.Report(processRecord(1, "v1"))
	h.Leave("i-1", 2)
	h.mergeStreamVersions([]*pb.StreamVersion{{Id: "a", Service: "s", Version: fleet.ProcessText("i-1", 2)}}, true)
	h.mu.Lock()
	defer h.mu.Unlock()
	_, only := h.byService["s"].Only("", h.now(), maxObserved)
	require.False(t, only, "%v", h.byService["s"].Versions(h.now()))
}

// Guards against a stream that nobody can take up because a successor of its process has ended
// before its first report.
func TestStreamsOfProcessesWhoseSuccessorEndedUnreported(t *testing.T) {
	h := startHubs(t, 1).hubs[0]
	h.mergeStreamVersions([]*pb.StreamVersion{{Id: "a", Service: "s", Version: fleet.ProcessText("i-1", 1)}}, true)
	h.Report(processRecord(1, "v1"))
	h.Leave("i-1", 2)
	resp, _ := h.answer(nil, &pb.StreamVersionRequest{Id: "a"})
	require.Equal(t, "v1", resp.Stream.GetVersion())
}
