package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
)

// Guards against entries that never use an upstream again which the hubs use: hubs forget a process
// that has ended or is silent, and then take any report, such as one of a process whose clock was
// set back, that tells no start any more, or of which a late notice came.
func TestEntriesForgetProcessesWhenHubsDo(t *testing.T) {
	started := func(bornMs int64, phase pb.UpstreamPhase, silent bool) *pb.UpstreamRecord {
		r := record("a", 5, phase)
		r.BornMs, r.Silent = bornMs, silent
		return r
	}
	const ready, gone = pb.UpstreamPhase_UPSTREAM_READY, pb.UpstreamPhase_UPSTREAM_GONE
	for name, c := range map[string]struct{ last, next *pb.UpstreamRecord }{
		"the same process after a notice": {started(200, gone, false), started(200, ready, false)},
		"clock set back":                  {started(200, ready, true), started(100, ready, false)},
		"no start told any more":          {started(200, gone, false), started(0, ready, false)},
		"no start told":                   {started(0, gone, false), started(0, ready, false)},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Subscriber{table: fleet.NewEntryTable(), silent: map[string]bool{}, start: time.Now()}
			s.merge([]*pb.UpstreamRecord{started(c.last.BornMs, ready, false)}, true)
			require.Len(t, s.merge([]*pb.UpstreamRecord{c.last}, true), 1)
			s.start = s.start.Add(-85 * time.Second)
			c.next.Sequence = 9
			require.Empty(t, s.merge([]*pb.UpstreamRecord{c.next}, true), "the hubs keep the process")
			s.start = s.start.Add(-5 * time.Second)
			changed := s.merge([]*pb.UpstreamRecord{c.next}, true)
			require.Len(t, changed, 1)
			require.Equal(t, ready, changed[0].Phase)
			require.False(t, changed[0].Silent)
		})
	}
	t.Run("a process in use", func(t *testing.T) {
		s := &Subscriber{table: fleet.NewEntryTable(), silent: map[string]bool{}, start: time.Now()}
		s.merge([]*pb.UpstreamRecord{started(200, ready, false)}, true)
		s.start = s.start.Add(-time.Hour)
		require.Empty(t, s.merge([]*pb.UpstreamRecord{started(100, ready, false)}, true))
	})
}
