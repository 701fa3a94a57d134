package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against a report that counts as new at a hub that gets it from one that was suspended: the
// clock of its age stood still meanwhile.
func TestReportsOfASuspendedHubAreNoProofAtOthers(t *testing.T) {
	suspended, _ := newRoutesHub(t, t.Cleanup, nil, true)
	other, _ := newRoutesHub(t, t.Cleanup, nil, true)
	suspended.Report(lateReport())
	suspended.mu.Lock()
	suspended.lastReports.bootOffset -= 20 * time.Second
	suspended.mu.Unlock()
	for _, r := range suspended.takePending(suspended.subscribe(nil)) {
		other.applyGossip(r)
	}
	resp, _ := other.answer(nil, &pb.StreamVersionRequest{UpstreamId: "a"})
	require.True(t, resp.Report == nil || resp.Report.AgeMs >= 20_000, "%v", resp.Report)
}

// Guards against reports that count as new at other hubs after they have waited for a stream there.
func TestReportsThatWaitForAStreamToAHubAge(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	other, _ := newRoutesHub(t, t.Cleanup, nil, true)
	s := h.subscribe(nil)
	h.takePending(s)
	h.Report(lateReport())
	time.Sleep(2200 * time.Millisecond)
	for _, r := range h.takePending(s) {
		other.applyGossip(r)
	}
	resp, _ := other.answer(nil, &pb.StreamVersionRequest{UpstreamId: "a"})
	require.True(t, resp.Report == nil || resp.Report.AgeMs >= 2000, "%v", resp.Report)
}
