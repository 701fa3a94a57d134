package client

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against a version that decreases when a watch is connected to a member
// that is behind, and against changes applied to the wrong base version.
func TestUpdatesNeverLowerVersion(t *testing.T) {
	have := &pb.Config{Version: 5}
	drain := &pb.ConfigChange{Change: &pb.ConfigChange_AddDrain{AddDrain: &pb.Drain{Place: "otaru-b"}}}
	for _, u := range []*pb.WatchUpdate{
		{Version: 4, Config: &pb.Config{Version: 4}},
		{Version: 5, Config: &pb.Config{Version: 5}},
		{Version: 4, Changes: []*pb.ConfigChange{drain}},
	} {
		cfg, err := nextConfig(have, u)
		require.NoError(t, err)
		require.Nil(t, cfg)
	}
	_, err := nextConfig(have, &pb.WatchUpdate{Version: 7, Changes: []*pb.ConfigChange{drain}})
	require.Error(t, err)
	cfg, err := nextConfig(have, &pb.WatchUpdate{Version: 6, Changes: []*pb.ConfigChange{drain}})
	require.NoError(t, err)
	require.Equal(t, uint64(6), cfg.Version)
	require.Equal(t, "otaru-b", cfg.Drains[0].Place)
}
