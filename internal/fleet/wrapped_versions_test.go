package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against wrapped records that hubs of earlier builds pass on to each other again and
// again, since their text changes with their age.
func TestWrappedRecordsDoNotChangeWithTheirAge(t *testing.T) {
	always := func(string) bool { return true }
	record := func(ageMs uint32) []*pb.StreamVersion {
		return WithWrapped([]*pb.StreamVersion{{Id: "a", Service: "s", Version: "v1", Model: "m", Weights: "1", Attempt: 3, AgeMs: ageMs}}, always)
	}
	young, old := record(1), record(5000)
	require.Len(t, young, 2)
	require.Equal(t, young[1].Version, old[1].Version)
	require.Equal(t, uint32(5000), Unwrap(old[1]).AgeMs)
	require.Equal(t, "1", Unwrap(old[1]).Weights)
}
