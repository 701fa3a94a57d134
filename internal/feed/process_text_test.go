package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/streamlog"
	"godwitward.example/godwitward/policy"
)

// earlyRun returns the versions of a stream that began at the process of engine a which has
// started again, runs v2 and has not reported yet.
func earlyRun() policy.RunVersions {
	return policy.RunVersions{Service: "llm", Software: fleet.ProcessText("a", 2), Model: "m", Weights: "7"}
}

// lateReport is the report of that process.
func lateReport() *pb.UpstreamRecord {
	r := engineRecord("a", "llm", "7", pb.EngineStage_ENGINE_STAGE_DECODE, 1)
	r.BornMs, r.SoftwareVersion = 2, "v2"
	return r
}

// keepRecord makes a hub keep a record of an entry.
func (h *Hub) keepRecord(id string, v policy.RunVersions) {
	h.mergeStreamVersions([]*pb.StreamVersion{fleet.EncodeStreamVersion(policy.StreamVersion{ID: id, Versions: v, Attempt: 1}, 0)}, true)
}

// only returns what entries take for the only versions of a service for model m.
func (h *Hub) only(service string) (policy.RunVersions, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byService[service].Only("m", h.now(), time.Hour)
}

// Guards against a core daemon that ends at a report whose software version is the text that
// stands for its own process.
func TestReportsThatNameTheirProcessDoNotEndHubs(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	r := lateReport()
	r.SoftwareVersion = fleet.ProcessText(r.Id, r.BornMs)
	h.Report(r)
	h.applyGossip(r)
	require.Len(t, h.Records(), 1)
}

// Guards against a stream whose software counts as known again with each report of an upstream
// that tells no start, although no report tells which process began the stream.
func TestReportsWithoutAStartTellNothingOfStreamsInDoubt(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	r := lateReport()
	r.BornMs = 0
	h.Report(r)
	doubtful := earlyRun()
	doubtful.Software = fleet.ProcessText("a", 0)
	h.keepRecord("s", doubtful)
	r = lateReport()
	r.BornMs, r.Sequence = 0, 2
	h.Report(r)
	_, known := h.only("llm")
	require.False(t, known, "an unnamed stream may be the one in doubt")
}

// Guards against unnamed streams that are refused for a minute after the report of a process
// has arrived, because a hub of an earlier build goes on listing the process.
func TestReportedProcessesAreNotListedAgain(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	h.keepRecord("s", earlyRun())
	h.Report(lateReport())
	listed := &pb.Gossip{ServiceVersions: []*pb.ServiceVersion{fleet.EncodeServiceVersion(earlyRun(), 0, 0)}}
	h.mu.Lock()
	h.mergeHistory(listed)
	h.mu.Unlock()
	only, known := h.only("llm")
	require.True(t, known)
	require.Equal(t, "v2", only.Software)
}

// Guards against unnamed streams that go on at the only version of which reports tell, after a
// restart of the core, while a process is in use that has not reported yet.
func TestUnreportedProcessesAreKnownAfterARestart(t *testing.T) {
	record := fleet.EncodeStreamVersion(policy.StreamVersion{ID: "s", Versions: earlyRun(), Attempt: 1}, 0)
	h, _ := newRoutesHub(t, t.Cleanup, &streamlog.Stored{Observed: time.Hour, Streams: []*pb.StreamVersion{record}}, false)
	h.Report(engineRecord("b", "llm", "7", pb.EngineStage_ENGINE_STAGE_DECODE, 1))
	_, known := h.only("llm")
	require.False(t, known)
	h.Report(lateReport())
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Len(t, h.byService["llm"].Versions(h.now()), 2, "v1 of b, v2 of a")
}

// Guards against records of processes that have not reported which are lost or changed by hubs
// of builds that keep only the software of a record.
func TestRecordsOfUnreportedProcessesPassOldHubs(t *testing.T) {
	oldHubs, members, _ := startMixedHubs(t, 2, 2)
	var entries []*reportingEntry
	for _, address := range members {
		entries = append(entries, startReportingEntry(t, address))
	}
	for i, from := range entries {
		v := policy.StreamVersion{ID: "stream-" + members[i], First: "f", Attempt: 1<<10 + 2, Versions: earlyRun()}
		from.report(v)
		for j, to := range entries {
			require.Eventually(t, func() bool {
				got, known := to.StreamVersion(t.Context(), v.ID)
				return known && got.Versions == v.Versions && got.Attempt == v.Attempt
			}, 3*time.Second, 5*time.Millisecond, "reported to hub %d, asked of hub %d", i, j)
		}
		for _, h := range oldHubs {
			h.mu.Lock()
			require.Equal(t, v.Versions.Software, h.records[v.ID].GetVersion(), "entries that choose by software find no upstream with it")
			h.mu.Unlock()
		}
	}
}

// Guards against streams that an entry of an earlier build joins with the software that its
// upstream had before, and against ones that it can't take up once the process has reported.
func TestOldEntriesGoOnAtAProcessOnceItHasReported(t *testing.T) {
	h, address, e := startRecognised(t)
	h.keepRecord("s", earlyRun())
	known, software := askAsEarlier(t, address, "entry", "s")
	require.True(t, known)
	require.Equal(t, fleet.OtherSoftware, software)
	whole := func() policy.RunVersions {
		answer, _ := h.answer(&pb.Hello{}, &pb.StreamVersionRequest{Id: "s"})
		v, _ := fleet.DecodeStreamVersion(answer.Stream, 0)
		return v.Versions
	}
	require.Equal(t, earlyRun(), whole())

	h.Report(lateReport())
	require.Eventually(t, func() bool { return fleet.ParseRunText(e.version("a")).GetSoftwareVersion() == "v2" }, 3*time.Second, 5*time.Millisecond)
	_, software = askAsEarlier(t, address, "entry", "s")
	require.Equal(t, e.version("a"), software)
	reported := earlyRun()
	reported.Software = "v2"
	require.Equal(t, reported, whole(), "builds that keep whole records choose by the software")
}

// Guards against a change of weights at a process that has not reported which counts as not
// recorded, because the hub answers with the software meanwhile.
func TestRecordsOfUnreportedProcessesAreConfirmedAsSent(t *testing.T) {
	h := startHubs(t, 1)
	entry := startReportingEntry(t, h.members[0])
	h.hubs[0].Report(lateReport())
	v := policy.StreamVersion{ID: "s", Versions: earlyRun(), Attempt: 2}
	require.True(t, entry.RecordStreamVersion(t.Context(), v))
}

// Guards against a stream that goes on at weights which its process has taken up since: a
// process that states none in its responses may have changed them before or after its report.
func TestHubsDoNotGuessWeightsOfUnreportedProcesses(t *testing.T) {
	h := startHubs(t, 1)
	v := earlyRun()
	v.Weights = ""
	h.hubs[0].keepRecord("s", v)
	h.hubs[0].Report(lateReport())
	answer, _ := h.hubs[0].answer(&pb.Hello{}, &pb.StreamVersionRequest{Id: "s"})
	require.Equal(t, v.Software, answer.Stream.Version)
}
