package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// benchCommandBytes is the size of a small ledger record.
const benchCommandBytes = 128

// counter is a state machine with minimal cost per command.
type counter struct{ applied uint64 }

func (c *counter) Apply(uint64, []byte) any  { c.applied++; return nil }
func (c *counter) Snapshot() ([]byte, error) { return fmt.Append(nil, c.applied), nil }
func (c *counter) Restore(data []byte) error {
	_, err := fmt.Sscan(string(data), &c.applied)
	return err
}

// benchCluster starts members on real files, each with a log of its own.
func benchCluster(b *testing.B, size int, adjust func(*Options)) *testCluster {
	c := newTestCluster(b, size)
	c.adjust = func(o *Options) {
		o.Tick = DefaultTick
		o.Groups = map[GroupID]StateMachine{1: &counter{}}
		adjust(o)
	}
	return c.bootstrap()
}

// BenchmarkCommit measures throughput and latency of commits with concurrent
// clients that each have one command in flight. Run it with -benchtime=2s -cpu=4.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 3, 5} {
		for _, syncBeforeSend := range []bool{false, true} {
			for _, clients := range []int{1, 16, 64, 256} {
				name := fmt.Sprintf("members=%d/syncBeforeSend=%t/clients=%d", size, syncBeforeSend, clients)
				b.Run(name, func(b *testing.B) {
					c := benchCluster(b, size, func(o *Options) { o.SyncBeforeSend = syncBeforeSend })
					measureCommits(b, c.leader(), clients)
				})
			}
		}
	}
}

func measureCommits(b *testing.B, leader *Node, clients int) {
	require.NoError(b, leader.ReadIndex(b.Context(), 1))
	command := make([]byte, benchCommandBytes)
	latencies := make([][]time.Duration, clients)
	b.ResetTimer()
	var wg sync.WaitGroup
	for client := range clients {
		wg.Go(func() {
			for i := client; i < b.N; i += clients {
				start := time.Now()
				if _, err := leader.Propose(context.Background(), 1, command); err != nil {
					b.Error(err)
					return
				}
				latencies[client] = append(latencies[client], time.Since(start))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	all := slices.Sorted(slices.Values(slices.Concat(latencies...)))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkFailover measures the time from stopping the leader to the next
// commit with the default tick. With planned=true the leader calls StepDown
// first, and the measured time includes it. Run it with -benchtime=20x.
func BenchmarkFailover(b *testing.B) {
	for _, size := range []int{3, 5} {
		for _, planned := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/planned=%t", size, planned), func(b *testing.B) {
				measureFailover(b, benchCluster(b, size, func(*Options) {}), planned)
			})
		}
	}
}

func measureFailover(b *testing.B, c *testCluster, planned bool) {
	c.propose("first")
	var times []time.Duration
	for b.Loop() {
		leader := c.leader()
		start := time.Now()
		if planned {
			require.NoError(b, leader.StepDown(b.Context()))
		}
		c.stop(leader.ID())
		c.propose("next")
		times = append(times, time.Since(start))
		b.StopTimer()
		c.start(leader.ID(), StartExisting)
		require.Eventually(b, func() bool { return c.nodes[leader.ID()].Leader(1) != 0 }, 10*time.Second, time.Millisecond)
		b.StartTimer()
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max-ms")
}

// BenchmarkRecovery measures the time from Start to the first read, for several
// log sizes without a snapshot. Run it with -benchtime=10x.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			c := benchCluster(b, 1, func(o *Options) { o.SnapshotBytes = 1 << 30 })
			leader := c.leader()
			var wg sync.WaitGroup
			for range 100 {
				wg.Go(func() {
					for range entries / 100 {
						_, _ = leader.Propose(context.Background(), 1, make([]byte, benchCommandBytes))
					}
				})
			}
			wg.Wait()
			c.stop(1)
			b.ResetTimer()
			for range b.N {
				n := c.start(1, StartExisting)
				require.NoError(b, n.ReadIndex(context.Background(), 1))
				b.StopTimer()
				c.stop(1)
				b.StartTimer()
			}
		})
	}
}
