package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against streams that an entry which compares run texts joins from engines of several
// weights, because reports that came through hubs of earlier builds tell none.
func TestRunTextsOfUnknownWeightsAreOfOneProcess(t *testing.T) {
	engine := func(id string, bornMs int64, weights ...string) *pb.UpstreamRecord {
		return &pb.UpstreamRecord{Id: id, BornMs: bornMs, Service: "s", SoftwareVersion: "v1", Models: []string{"m"}, Weights: weights}
	}
	require.NotEqual(t, RunText(engine("a", 1)), RunText(engine("b", 1)))
	require.NotEqual(t, RunText(engine("a", 1)), RunText(engine("a", 2)))
	require.NotEqual(t, RunText(engine("a", 1, "")), RunText(engine("b", 1, "")))
	require.Equal(t, RunText(engine("a", 1)), RunText(engine("a", 1)))
	require.Equal(t, RunText(engine("a", 1, "7")), RunText(engine("b", 2, "7")))
	plain := func(id string) *pb.UpstreamRecord {
		return &pb.UpstreamRecord{Id: id, Service: "s", SoftwareVersion: "v1"}
	}
	require.Equal(t, RunText(plain("a")), RunText(plain("b")), "upstreams without models have no weights")
}
