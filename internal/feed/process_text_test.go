package feed

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
)

// lateReport is the report of the process of engine a that has started again and runs v2.
func lateReport() *pb.UpstreamRecord {
	r := engineRecord("a", "llm", "7", pb.EngineStage_ENGINE_STAGE_DECODE, 1)
	r.BornMs, r.SoftwareVersion = 2, "v2"
	return r
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
