package processes

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/dev"
	"godwitward.example/godwitward/internal/standin"
)

const (
	measurementWindow = 10 * time.Second
	// clockTicksPerSecond is the resolution of the CPU times in /proc.
	clockTicksPerSecond = 100
)

// processUsage returns the CPU time and the resident memory of a process.
func processUsage(t testing.TB, p *process) (cpu time.Duration, rssKiB int) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		require.NoError(t, err)
		cpu += time.Duration(n) * time.Second / clockTicksPerSecond
	}
	pages, err := strconv.Atoi(fields[21])
	require.NoError(t, err)
	return cpu, pages * os.Getpagesize() / 1024
}

// BenchmarkDaemonCost measures the CPU time and memory of an idle entry and
// scheduler by the number of upstreams, each of which announces itself to the
// entry every second.
func BenchmarkDaemonCost(b *testing.B) {
	for _, n := range []int{3, 30, 140, 420, 830} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c := newCluster(b)
			scheduler := c.startScheduler("scheduler-1")
			entry := c.startEntry("entry-1")
			c.putDefaultRoutes()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for i := range n {
				s := dev.DefaultUpstreams(1, 1, 1)[i%3]
				s.ID = fmt.Sprintf("%s-%d", s.ID, i)
				s.Region = dev.Region
				s.Entries = []string{"http://" + c.entryAddrs[0]}
				_, err := standin.Start(ctx, s)
				require.NoError(b, err)
			}
			c.waitForLive(n)
			b.ResetTimer()
			for range b.N {
				entryCPU, _ := processUsage(b, entry)
				schedulerCPU, _ := processUsage(b, scheduler)
				time.Sleep(measurementWindow)
				entryAfter, entryRSS := processUsage(b, entry)
				schedulerAfter, schedulerRSS := processUsage(b, scheduler)
				percent := func(d time.Duration) float64 { return 100 * d.Seconds() / measurementWindow.Seconds() }
				b.ReportMetric(percent(entryAfter-entryCPU), "entry-%core")
				b.ReportMetric(percent(schedulerAfter-schedulerCPU), "scheduler-%core")
				b.ReportMetric(float64(entryRSS)/1024, "entry-MiB")
				b.ReportMetric(float64(schedulerRSS)/1024, "scheduler-MiB")
			}
		})
	}
}

// BenchmarkRequestCost measures the CPU time of the entry and the scheduler per
// request and per output token, by the number of requests in flight. The
// stand-ins decode one token every 5 ms.
func BenchmarkRequestCost(b *testing.B) {
	const tokens = 200
	for _, callers := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("in-flight=%d", callers), func(b *testing.B) {
			c := newCluster(b)
			scheduler := c.startScheduler("scheduler-1")
			entry := c.startEntry("entry-1")
			c.putDefaultRoutes()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for _, s := range dev.DefaultUpstreams(1, 2, 1) {
				s.Region = dev.Region
				s.Entries = []string{"http://" + c.entryAddrs[0]}
				s.DecodePerToken = 5 * time.Millisecond
				s.BatchGrowth = -1
				s.MaxBatch = callers
				s.TotalPieces = 4 * callers
				_, err := standin.Start(ctx, s)
				require.NoError(b, err)
			}
			c.waitForLive(4)
			b.ResetTimer()
			for range b.N {
				entryCPU, _ := processUsage(b, entry)
				schedulerCPU, _ := processUsage(b, scheduler)
				completed := c.runCallers(b, callers, tokens, time.Now().Add(measurementWindow))
				entryAfter, entryRSS := processUsage(b, entry)
				schedulerAfter, _ := processUsage(b, scheduler)
				perRequest := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(completed) }
				b.ReportMetric(float64(completed)/measurementWindow.Seconds(), "requests/s")
				b.ReportMetric(perRequest(entryAfter-entryCPU), "entry-us/request")
				b.ReportMetric(perRequest(entryAfter-entryCPU)/tokens, "entry-us/token")
				b.ReportMetric(perRequest(schedulerAfter-schedulerCPU), "scheduler-us/request")
				b.ReportMetric(float64(entryRSS)/1024, "entry-MiB")
			}
		})
	}
}

// runCallers keeps a number of requests in flight until the given time and returns
// how many were completed.
func (c *cluster) runCallers(t testing.TB, callers, tokens int, until time.Time) int {
	t.Helper()
	var wg sync.WaitGroup
	var completed atomic.Int64
	for i := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				if err := completeAt(c.entryAddrs[0], fmt.Sprintf("report %d of caller %d", n, i), tokens); err == nil {
					completed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	require.Positive(t, completed.Load())
	return int(completed.Load())
}

// BenchmarkTakeover measures the time from the kill of the active scheduler to
// the complete response to the first request that was sent after it.
func BenchmarkTakeover(b *testing.B) {
	c := newCluster(b)
	active := c.startScheduler("scheduler-0")
	c.startEntry("entry-1")
	c.putDefaultRoutes()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, s := range dev.DefaultUpstreams(1, 2, 1) {
		s.Region = dev.Region
		s.Entries = []string{"http://" + c.entryAddrs[0]}
		_, err := standin.Start(ctx, s)
		require.NoError(b, err)
	}
	c.waitForLive(4)
	var longest, sum time.Duration
	for i := range b.N {
		next := c.startScheduler(fmt.Sprintf("scheduler-%d", i+1))
		time.Sleep(2 * time.Second)
		start := time.Now()
		active.kill()
		require.NoError(b, completeAt(c.entryAddrs[0], fmt.Sprintf("report %d", i), 1))
		takeover := time.Since(start)
		sum += takeover
		longest = max(longest, takeover)
		active = next
	}
	b.ReportMetric(sum.Seconds()/float64(b.N), "s/takeover")
	b.ReportMetric(longest.Seconds(), "s-longest")
}
