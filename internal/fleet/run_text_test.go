package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against streams that move between engines of different weights because a hub of an
// earlier build has left out both.
func TestRunTextsOfDroppedWeightsDiffer(t *testing.T) {
	record := func(id string, weights ...string) *pb.UpstreamRecord {
		return &pb.UpstreamRecord{Id: id, BornMs: 1, Service: "s", SoftwareVersion: "v1", Models: []string{"m"}, Weights: weights}
	}
	require.NotEqual(t, RunText(record("a")), RunText(record("b")))
	require.Equal(t, RunText(record("a")), RunText(record("a")))
	require.Equal(t, RunText(record("a", "")), RunText(record("b", "")), "neither reports its weights")
	require.Equal(t, RunText(record("a", "1")), RunText(record("b", "1")))
	require.NotEqual(t, RunText(record("a")), RunText(&pb.UpstreamRecord{Id: "a", BornMs: 2, Service: "s", SoftwareVersion: "v1", Models: []string{"m"}}))
	plain := func(id string) *pb.UpstreamRecord {
		return &pb.UpstreamRecord{Id: id, Service: "s", SoftwareVersion: "v1"}
	}
	require.Equal(t, RunText(plain("a")), RunText(plain("b")), "upstreams without models have no weights")
}
