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
