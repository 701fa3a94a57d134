package feed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/policy"
)

// Guards against versions of streams that pile up for a hub that is out of reach.
func TestStreamVersionsForAnUnreachableHubAreBounded(t *testing.T) {
	s := &subscription{allReports: true}
	for range 2 * maxPending {
		s.addStreamVersions([]policy.StreamVersion{{ID: "a"}})
	}
	require.LessOrEqual(t, len(s.streamVersions), maxPending)
	require.True(t, s.allStreamVersions, "the hub gets all of them when it is back")
}
