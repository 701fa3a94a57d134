package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
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
