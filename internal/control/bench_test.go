package control

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// BenchmarkClaims measures the throughput of claims through the client, with logs
// on disk.
func BenchmarkClaims(b *testing.B) {
	for _, members := range []int{1, 3, 5} {
		for _, perCore := range []int{1, 4, 26} {
			b.Run(fmt.Sprintf("members=%d/callers=%d", members, perCore*runtime.GOMAXPROCS(0)), func(b *testing.B) {
				st := startTestStore(b, members, func(o *Options) {
					o.Cluster.Tick, o.Shards, o.Cluster.SnapshotBytes = 0, DefaultLedgerShards, 64<<20
				})
				c, _ := startDaemon(b, st.addrs(), "entry")
				require.Eventually(b, c.Serving, 20*time.Second, 10*time.Millisecond)
				time.Sleep(time.Second)
				digest := sha256.Sum256(nil)
				var n atomic.Int64
				b.SetParallelism(perCore)
				b.ResetTimer()
				b.RunParallel(func(p *testing.PB) {
					for p.Next() {
						key := fmt.Sprint(n.Add(1))
						resp, err := c.Claim(timeoutContext(b, 10*time.Second), &pb.ClaimRequest{
							Organisation: "o", Key: key, RequestId: key, Digest: digest[:], DeadlineMs: 60_000,
						})
						if err != nil || resp.Result != pb.ClaimResponse_CLAIMED {
							b.Errorf("claim: %v, %v", resp, err)
							return
						}
					}
				})
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			})
		}
	}
}
