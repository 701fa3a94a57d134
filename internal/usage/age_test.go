package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Guards against entries that count as restarted because the clock of their VM is ahead.
func TestAgeOfAnEntry(t *testing.T) {
	at := time.UnixMilli(100_000)
	for bornMs, age := range map[int64]time.Duration{97_000: 3 * time.Second, 100_000: 0, 130_000: 0} {
		require.Equal(t, age, decodeReport(&pb.TenantUsageRequest{BornMs: bornMs}, at).Age)
	}
	require.Greater(t, decodeReport(&pb.TenantUsageRequest{}, at).Age, time.Minute, "an entry that tells no start")
}
