package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/protocol"
	"godwitward.example/godwitward/policy"
)

func report(id string, bornMs int64, sequence uint64) *pb.UpstreamRecord {
	return &pb.UpstreamRecord{Id: id, Service: "s", Address: "10.0.0.1:80", Phase: pb.UpstreamPhase_UPSTREAM_READY, BornMs: bornMs, Sequence: sequence}
}

// A delayed report must not make a process that has ended look alive again.
func TestLateReportDoesNotReviveEndedProcess(t *testing.T) {
	table := NewTable()
	table.Observe(report("a", 100, 1), 0)
	require.NotNil(t, table.Leave("a", 100, time.Second))
	changed, accepted := table.Observe(report("a", 100, 9), 2*time.Second)
	require.Empty(t, changed)
	require.False(t, accepted)
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_GONE, table.Get("a").Phase)
}

// A process that restarts under the same id starts over with a lower sequence
// number; its reports must still count as newer.
func TestRestartUnderSameIDIsNewer(t *testing.T) {
	table := NewTable()
	table.Observe(report("a", 100, 50), 0)
	table.Leave("a", 100, time.Second)
	_, accepted := table.Observe(report("a", 200, 1), 2*time.Second)
	require.True(t, accepted)
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_READY, table.Get("a").Phase)
}

// Guards against requests to a process whose notice of its end arrives before its first report.
func TestLateReportDoesNotReviveProcessThatEndedUnreported(t *testing.T) {
	table := NewTable()
	table.Observe(report("a", 100, 50), 0)
	gone := table.Leave("a", 200, time.Second)
	require.EqualValues(t, 200, gone.BornMs)
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_GONE, gone.Phase)
	_, accepted := table.Observe(report("a", 200, 3), 2*time.Second)
	require.False(t, accepted, "a report of the ended process")
	_, accepted = table.Observe(report("a", 300, 1), 3*time.Second)
	require.True(t, accepted, "a report of the next process")
}

// Guards against streams of a process that ended unreported which go on at the software of its
// predecessor.
func TestProcessThatEndedUnreportedHasUnknownSoftware(t *testing.T) {
	table := NewTable()
	known := report("a", 100, 50)
	known.SoftwareVersion, known.Models, known.Weights = "v1", []string{"m"}, []string{"1"}
	table.Observe(known, 0)
	gone := table.Leave("a", 200, time.Second)
	began := policy.RunVersions{Service: "s", Software: ProcessText("a", 200), Model: "m"}
	resolved, _ := ResolveProcess(began, gone)
	require.False(t, resolved.MayGoOnAt(RunVersions(known, "m")), "resolved to %+v", resolved)

	late := report("a", 200, 3)
	late.SoftwareVersion, late.Level = "v2", uint32(protocol.Current)
	table.Observe(late, 2*time.Second)
	require.Equal(t, "v2", table.Get("a").SoftwareVersion)
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_GONE, table.Get("a").Phase)
}

// A late report of an older process must not replace the process that now uses
// its address.
func TestLateReportDoesNotReplaceNewProcessAtAddress(t *testing.T) {
	table := NewTable()
	table.Observe(report("old", 100, 5), 0)
	changed, _ := table.Observe(report("new", 200, 1), time.Second)
	require.Len(t, changed, 2)
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_GONE, table.Get("old").Phase)
	_, accepted := table.Observe(report("late", 150, 7), 2*time.Second)
	require.False(t, accepted)
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_READY, table.Get("new").Phase)
}

// An upstream that stops reporting is marked silent once, and a new report
// clears the mark.
func TestSilenceIsMarkedAndCleared(t *testing.T) {
	table := NewTable()
	table.Observe(report("a", 100, 1), 0)
	require.Empty(t, table.Expire(SilentAfter))
	require.Len(t, table.Expire(SilentAfter+1), 1)
	require.Empty(t, table.Expire(SilentAfter+2))
	changed, _ := table.Observe(report("a", 100, 2), SilentAfter+3)
	require.Len(t, changed, 1)
	require.False(t, table.Get("a").Silent)
}

// Daemons that receive the same reports in different orders must agree.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.Custom(func(t *rapid.T) *pb.UpstreamRecord {
			r := report(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 4).Draw(t, "sequence"))
			r.Address = "10.0.0.1:" + r.Id
			if rapid.Bool().Draw(t, "gone") {
				r.Phase, r.Sequence = pb.UpstreamPhase_UPSTREAM_GONE, 0
			}
			return r
		})
		reports := rapid.SliceOfN(gen, 1, 12).Draw(t, "reports")
		order := rapid.Permutation(reports).Draw(t, "order")
		first, second := NewTable(), NewTable()
		for i := range reports {
			first.Observe(clone(reports[i]), 0)
			second.Observe(clone(order[i]), 0)
		}
		for _, id := range []string{"a", "b"} {
			a, b := first.Get(id), second.Get(id)
			if (a == nil) != (b == nil) {
				t.Fatalf("only one table contains %s", id)
			}
			if a != nil && (a.BornMs != b.BornMs || a.Phase != b.Phase) {
				t.Fatalf("the tables differ on %s: %v and %v", id, a, b)
			}
		}
	})
}
