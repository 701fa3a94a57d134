package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/policy"
)

// Guards against unnamed streams that are refused for a minute after an entry has found the
// software of a process that tells no start, and against the process counting as a version of its
// own again when a record of one of its streams arrives late.
func TestProcessesWhoseSoftwareWasFoundAreNoVersions(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	r := lateReport()
	h.Report(r)
	untold := earlyRun()
	untold.Software = fleet.ProcessText("a", -5)
	h.keepRecord("s", untold)
	_, ok := h.only("llm")
	require.False(t, ok, "its software is not known")
	h.keepRecord(untold.Software, policy.RunVersions{Service: "llm", Software: "v2"})
	for range 2 {
		only, ok := h.only("llm")
		require.True(t, ok)
		require.Equal(t, policy.RunVersions{Service: "llm", Software: "v2", Model: "m", Weights: "7"}, only)
		h.keepRecord("late", untold)
	}
}

// Guards against a notice, or the silence about an upstream that a hub does not know, that is taken
// for a report of a process.
func TestOnlyReportsTellThatAProcessReports(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	r := lateReport()
	ask := func() *pb.UpstreamRecord {
		resp, _ := h.answer(nil, &pb.StreamVersionRequest{UpstreamId: r.Id})
		return resp.Report
	}
	require.Nil(t, ask(), "no report has arrived")
	h.applyGossip(r)
	require.Nil(t, ask(), "its age lacks the way from the other hub")
	r = lateReport()
	r.Sequence = 9
	h.Report(r)
	require.EqualValues(t, 2, ask().GetBornMs())
	age := ask().GetAgeMs()
	time.Sleep(5 * time.Millisecond)
	late := lateReport()
	late.Sequence = 8
	h.Report(late)
	h.Leave(r.Id, r.BornMs)
	require.GreaterOrEqual(t, ask().GetAgeMs(), age+5, "an older report and a notice are none")
}

// Guards against a report that counts as new after its hub was suspended: the clock of its age
// stood still meanwhile.
func TestReportsFromBeforeASuspensionAreNoProof(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	r := lateReport()
	h.Report(r)
	ask := func() *pb.UpstreamRecord {
		resp, _ := h.answer(nil, &pb.StreamVersionRequest{UpstreamId: r.Id})
		return resp.Report
	}
	require.NotNil(t, ask())
	h.mu.Lock()
	h.lastReports.bootOffset -= 20 * time.Second
	h.mu.Unlock()
	require.Nil(t, ask())
	require.Nil(t, ask())
	require.True(t, reportsAgain(h, ask), "a later one was sent since")
}

// reportsAgain sends further reports, and tells whether one counts once what has waited is read.
func reportsAgain(h *Hub, ask func() *pb.UpstreamRecord) bool {
	for next, until := lateReport(), time.Now().Add(2*readTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		next = proto.CloneOf(next)
		next.Sequence++
		h.Report(next)
		if ask() != nil {
			return true
		}
	}
	return false
}

// Guards against reports that waited in the sockets of a daemon that was stopped, and count as new
// when it reads them: their sender may have ended long before.
func TestReportsThatWaitedForAStoppedDaemonAreNotNew(t *testing.T) {
	h, _ := newRoutesHub(t, t.Cleanup, nil, true)
	r := lateReport()
	ask := func() *pb.UpstreamRecord {
		resp, _ := h.answer(nil, &pb.StreamVersionRequest{UpstreamId: r.Id})
		return resp.Report
	}
	h.mu.Lock()
	h.lastReports.checkedAt -= 2 * time.Second
	h.mu.Unlock()
	h.Report(r)
	require.Nil(t, ask(), "read right after the stop")
	require.True(t, reportsAgain(h, ask), "a later one was sent since")
}
