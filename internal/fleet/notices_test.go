package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against a process that is listed by a report which arrives after its notice of leaving,
// and against a later process under its id that is taken for it.
func TestReportsAfterTheNoticeOfAnUnknownProcess(t *testing.T) {
	const noticeAt = time.Minute
	gone, ready, unknown := pb.UpstreamPhase_UPSTREAM_GONE, pb.UpstreamPhase_UPSTREAM_READY, pb.UpstreamPhase_UPSTREAM_PHASE_UNSPECIFIED
	for name, c := range map[string]struct {
		told, born int64
		after      time.Duration
		want       pb.UpstreamPhase
	}{
		"same start":                {100, 100, 3 * time.Second, gone},
		"same start, much later":    {100, 100, time.Minute, gone},
		"earlier start":             {100, 90, 3 * time.Second, unknown},
		"later start":               {100, 110, 3 * time.Second, ready},
		"start not reported":        {100, 0, 3 * time.Second, unknown},
		"start not reported, later": {100, 0, MaxReportDelay + time.Second, ready},
		"start not told":            {0, 100, 3 * time.Second, unknown},
		"start not told, later":     {0, 100, MaxReportDelay + time.Second, ready},
		"no start at all":           {0, 0, 3 * time.Second, unknown},
		"no start at all, later":    {0, 0, MaxReportDelay + time.Second, ready},
		"received before":           {0, 100, -time.Second, unknown},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			require.True(t, IsNotice(table.Leave("a", c.told, noticeAt)))
			r := readyRecord("a", c.born, 1)
			changed, accepted := table.Observe(r, noticeAt+c.after)
			require.Equal(t, c.want != unknown, accepted)
			require.Equal(t, c.want, table.Get("a").GetPhase())
			if accepted {
				require.Equal(t, c.want, changed[0].Phase)
				require.Equal(t, c.want, r.Phase, "what is passed on")
			}
			_, accepted = table.Observe(readyRecord("a", 200, 1), noticeAt+2*MaxReportDelay)
			require.True(t, accepted, "the next process")
		})
	}
}

func readyRecord(id string, born int64, sequence uint64) *pb.UpstreamRecord {
	return &pb.UpstreamRecord{Id: id, Service: "s", Address: "10.0.0.1:80", Phase: pb.UpstreamPhase_UPSTREAM_READY, BornMs: born, Sequence: sequence}
}

// Guards against an entry that goes on listing a process of which only the notice has reached it,
// and against one that ends its successor with a notice that a hub sends again.
func TestNoticesEndTheProcessesThatEntriesKnow(t *testing.T) {
	for _, told := range []int64{0, 100} {
		table := NewEntryTable()
		table.Observe(readyRecord("a", 100, 3), 0)
		gone := table.Leave("a", told, time.Minute)
		require.False(t, IsNotice(gone))
		require.Equal(t, "10.0.0.1:80", gone.Address)
		require.Equal(t, pb.UpstreamPhase_UPSTREAM_GONE, gone.Phase)
		require.Nil(t, table.Leave("a", told, time.Minute))
		_, accepted := table.Observe(readyRecord("a", 200, 1), time.Minute+MaxReportDelay)
		require.True(t, accepted)
		require.Nil(t, table.Leave("a", told, time.Minute))
		require.Equal(t, pb.UpstreamPhase_UPSTREAM_READY, table.Get("a").Phase)
	}
}

// Guards against notices for ids that nobody runs which fill the memory, and against one that
// counts as kept although there was no room.
func TestNoticesAreBounded(t *testing.T) {
	table := NewTable()
	for i := range maxNotices {
		require.NotNil(t, table.Leave(fmt.Sprint("x-", i), int64(i), 0))
	}
	require.Nil(t, table.Leave("a", 100, time.Second))
	_, ok := table.Ended("a", 100, time.Second)
	require.False(t, ok)
	_, ok = table.Ended("x-0", 0, time.Second)
	require.True(t, ok)
	table.Observe(readyRecord("b", 100, 3), time.Second)
	require.NotNil(t, table.Leave("b", 100, time.Second), "a process that is known needs no room")
	require.NotNil(t, table.Leave("a", 100, forgetAfter+time.Second), "the others have expired")
	require.Len(t, table.Notices(forgetAfter+time.Second), 1)
}
