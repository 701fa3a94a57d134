package fleet

import (
	"cmp"
	"slices"
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

// untold is a report that states no process start.
func untold(id string, sequence uint64) *pb.UpstreamRecord { return report(id, 0, sequence) }

// Guards against an upstream that starts again under its id, tells no start and keeps the record
// of the process before for 90 s.
func TestRestartThatTellsNoStartIsNewerOnceReportsCannotBeLate(t *testing.T) {
	table := NewTable()
	table.Observe(untold("a", 50), 0)
	next := untold("a", 2)
	next.Stage, next.SoftwareVersion = pb.EngineStage_ENGINE_STAGE_PREFILL, "v2"
	_, accepted := table.Observe(next, MaxReportDelay)
	require.False(t, accepted, "it may be a late report of the process before")
	next.Sequence = 3
	changed, accepted := table.Observe(next, MaxReportDelay+1)
	require.True(t, accepted)
	require.Len(t, changed, 1)
	require.Equal(t, "v2", table.Get("a").SoftwareVersion)
	late := untold("a", 50)
	late.AgeMs = uint32((MaxReportDelay + time.Second).Milliseconds())
	_, accepted = table.Observe(late, MaxReportDelay+time.Second)
	require.False(t, accepted, "another daemon knows the process before only")
}

// Guards against an upstream that gives notice of its end, starts again under its id, tells no
// start and gets no request for 90 s; and against requests to one that reports after its notice.
func TestRestartAfterNoticeThatTellsNoStartIsNewerOnceReportsCannotBeLate(t *testing.T) {
	table := NewTable()
	table.Observe(untold("a", 50), 0)
	require.NotNil(t, table.Leave("a", 0, 0))
	for _, r := range []*pb.UpstreamRecord{untold("a", 49), untold("a", 2)} {
		_, accepted := table.Observe(r, MaxReportDelay)
		require.False(t, accepted, "sequence %d", r.Sequence)
	}
	_, accepted := table.Observe(untold("a", 51), time.Minute)
	require.False(t, accepted, "the process goes on reporting after its notice")
	_, accepted = table.Observe(untold("a", 3), MaxReportDelay+1)
	require.True(t, accepted)
	require.Equal(t, pb.UpstreamPhase_UPSTREAM_READY, table.Get("a").Phase)
}

// Guards against entries that drop the record of a process which a hub has accepted: the hub
// sends it once. An entry learns of the last report and of a silence up to seconds later.
func TestEntriesTakeTheProcessThatHubsHaveAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub, entry := NewTable(), NewEntryTable()
		way := func(label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, label))
		}
		send := func(r *pb.UpstreamRecord, at time.Duration, label string) { entry.Observe(clone(r), at+way(label)) }
		last := rapid.Uint64Range(2, 30).Draw(t, "last sequence")
		visible := rapid.Uint64Range(1, last).Draw(t, "sequence of the last visible change")
		now := time.Duration(0)
		for sequence := uint64(1); sequence <= last; sequence++ {
			now += 1200 * time.Millisecond
			hub.Observe(untold("a", sequence), now)
			if sequence == visible {
				send(untold("a", sequence), now, "way of the change")
			}
		}
		if rapid.Bool().Draw(t, "notice") {
			send(hub.Leave("a", 0, now), now, "way of the notice")
		} else {
			for _, silent := range hub.Expire(now + SilentAfter + way("sweep")) {
				send(silent, now+SilentAfter+time.Second, "way of the silence")
			}
		}
		started := now
		for sequence := uint64(1); ; sequence++ {
			now += 1200 * time.Millisecond
			next := untold("a", sequence)
			next.SoftwareVersion = "v2"
			if _, accepted := hub.Observe(next, now); !accepted {
				if now > started+forgetAfter {
					// Not the subject here: a short life before the notice.
					return
				}
				continue
			}
			entry.Observe(clone(next), now)
			if software := entry.Get("a").SoftwareVersion; software != "v2" {
				t.Fatalf("the entry holds %v", entry.Get("a"))
			}
			return
		}
	})
}

// Guards against daemons that settle on different processes of an upstream that tells no start,
// whatever they have heard first.
func TestTablesConvergeOnProcessesThatTellNoStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := untold("a", rapid.Uint64Range(1, 100).Draw(t, "sequence"))
		gone := rapid.Bool().Draw(t, "gone")
		if gone {
			before.Phase = pb.UpstreamPhase_UPSTREAM_GONE
		}
		after := untold("a", rapid.Uint64Range(1, 100).Draw(t, "later sequence"))
		after.SoftwareVersion = "v2"
		between := time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "between")).Truncate(time.Millisecond)
		now := time.Minute
		first, second := NewTable(), NewTable()
		observe := func(table *Table, r *pb.UpstreamRecord, at time.Duration) {
			r = clone(r)
			r.AgeMs = uint32((now - at).Milliseconds())
			table.Observe(r, now)
		}
		observe(first, before, now-between)
		observe(first, after, now)
		observe(second, after, now)
		observe(second, before, now-between)
		if a, b := first.Get("a"), second.Get("a"); before.Sequence != after.Sequence && (a.Sequence != b.Sequence || a.Phase != b.Phase) {
			t.Fatalf("the tables hold %v and %v", a, b)
		}
	})
}

// Guards against core daemons of which one keeps the process before a restart for good: each gets
// some of the reports, late ones among them, and the others on the way through the other one.
func TestTablesFollowRestartsThatTellNoStart(t *testing.T) {
	type arrival struct {
		at    time.Duration
		table int
		r     *pb.UpstreamRecord
		// passedOn is set if the other daemon has sent it.
		passedOn bool
	}
	const interval, settled = 1200 * time.Millisecond, 2*MaxReportDelay + 5*time.Second
	rapid.Check(t, func(t *rapid.T) {
		lives := rapid.SliceOfN(rapid.IntRange(1, 30), 1, 3).Draw(t, "reports before each restart")
		lives = append(lives, int(settled/interval)+2)
		var due []arrival
		now, lastStart := time.Duration(0), time.Duration(0)
		for life, reports := range lives {
			lastStart = now
			for sequence := 1; sequence <= reports; sequence++ {
				now += interval
				r := untold("a", uint64(sequence))
				r.SoftwareVersion = string(rune('0' + life))
				late := time.Duration(0)
				if rapid.IntRange(0, 4).Draw(t, "late") == 0 {
					late = time.Duration(rapid.Int64Range(0, int64(MaxReportDelay)).Draw(t, "delay"))
				}
				due = append(due, arrival{at: now + late, table: rapid.IntRange(0, 1).Draw(t, "table"), r: r})
			}
		}
		tables := []*Table{NewTable(), NewTable()}
		for len(due) > 0 {
			slices.SortStableFunc(due, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
			next := due[0]
			due = due[1:]
			if next.at > now {
				break
			}
			if _, accepted := tables[next.table].Observe(clone(next.r), next.at); accepted && !next.passedOn {
				way := time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "way"))
				due = append(due, arrival{next.at + way, 1 - next.table, next.r, true})
			}
		}
		for i, table := range tables {
			if software := table.Get("a").SoftwareVersion; software != string(rune('0'+len(lives)-1)) {
				t.Fatalf("table %d holds %v, the last process started at %v, now %v", i, table.Get("a"), lastStart, now)
			}
		}
	})
}

// Guards against requests to a process after its notice, which does not state its start and may be
// a late one of its predecessor: an acknowledged notice counts for the process that is known.
func TestNoticeWithoutAStartEndsTheKnownProcess(t *testing.T) {
	table := NewTable()
	table.Observe(report("a", 200, 5), 0)
	require.NotNil(t, table.Leave("a", 0, time.Second))
	_, accepted := table.Observe(report("a", 200, 6), time.Second)
	require.False(t, accepted)
	_, accepted = table.Observe(report("a", 300, 1), 2*time.Second)
	require.True(t, accepted, "the next process")
	table.Expire(2*time.Second + forgetAfter + 1)
	require.Nil(t, table.Get("a"))
}
