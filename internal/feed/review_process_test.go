package feed

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// Guards against a hub that takes the end of a process for its report: it forgets that the
// process has served, and the software of the one before seems to be the only one in use.
func TestEndsOfUnreportedProcessesAreNoReports(t *testing.T) {
	h := startHubs(t, 1).hubs[0]
	h.Report(processRecord(1, "v1"))
	h.Leave("i-1", 2)
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_GONE, h.table.Get("i-1").Phase)
	h.seeVersions([]policy.RunVersions{{Service: "s", Software: fleet.ProcessText("i-1", 2)}}, h.now())
	_, only := h.byService["s"].Only("", h.now(), maxObserved)
	require.False(t, only, "%v", h.byService["s"].Versions(h.now()))
}

// Guards against a stream whose versions are answered as those of an ended process that has not
// reported: entries record that answer, and the report that arrives later changes nothing.
func TestEndsOfUnreportedProcessesTellNoSoftware(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	h.Report(engineRecord("a", "llm", "7", pb.EngineStage_ENGINE_STAGE_DECODE, 1))
	h.keepRecord("s", earlyRun())
	h.Leave("a", 2)
	resp, _ := h.answer(nil, &pb.StreamVersionRequest{Id: "s"})
	require.Equal(t, earlyRun().Software, resp.Stream.GetVersion())
	h.Report(lateReport())
	resp, _ = h.answer(nil, &pb.StreamVersionRequest{Id: "s"})
	require.Equal(t, "v2", resp.Stream.GetVersion())
}

// Guards against a stream that nobody can take up because the process that began it has
// reported, and another one has reported under its id since.
func TestStreamsOfProcessesThatReportedBeforeTheirSuccessor(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	h.keepRecord("s", earlyRun())
	h.Report(lateReport())
	next := lateReport()
	next.BornMs, next.SoftwareVersion = 3, "v3"
	h.Report(next)
	resp, _ := h.answer(nil, &pb.StreamVersionRequest{Id: "s"})
	require.Equal(t, "v2", resp.Stream.GetVersion())
}

// Guards against the same where the report of the successor arrives first.
func TestStreamsOfProcessesThatReportAfterTheirSuccessor(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	h.keepRecord("s", earlyRun())
	next := lateReport()
	next.BornMs, next.SoftwareVersion = 3, "v3"
	h.Report(next)
	h.Report(lateReport())
	resp, _ := h.answer(nil, &pb.StreamVersionRequest{Id: "s"})
	require.Equal(t, "v2", resp.Stream.GetVersion())
}
