package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/fleet"
	"godwitward.example/godwitward/internal/protocol"
)

// Guards against an entry that does without the weights of an engine, for as long as nothing
// else of it changes, because the hub of an older build listed it first.
func TestEntriesLearnWeightsAfterAnOlderHubListedTheEngine(t *testing.T) {
	s := &Subscriber{start: time.Now(), table: fleet.NewTable(), silent: map[string]bool{}}
	listed := func() *pb.UpstreamRecord {
		r := record("u", 5, pb.UpstreamPhase_UPSTREAM_READY)
		r.BornMs, r.Models = 1, []string{"m"}
		return r
	}
	require.Len(t, s.merge([]*pb.UpstreamRecord{listed()}, true), 1)
	whole := listed()
	whole.SoftwareVersion, whole.Weights, whole.Level = "v1", []string{"1"}, uint32(protocol.Current)
	changed := s.merge([]*pb.UpstreamRecord{whole}, true)
	require.Len(t, changed, 1)
	require.Equal(t, "v1", changed[0].SoftwareVersion)
	require.Equal(t, []string{"1"}, changed[0].Weights)
	require.Empty(t, s.merge([]*pb.UpstreamRecord{listed()}, true), "the older hub tells nothing new")
	require.Equal(t, []string{"1"}, s.table.Get("u").Weights)
}
