package processes

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/dev"
	"godwitward.example/godwitward/internal/standin"
)

const (
	costWindow = 10 * time.Second
	// clockTicks is the unit of CPU time in /proc, ticks a second.
	clockTicks = 100
)

// usage reads the CPU time and resident memory of a process.
func usage(t testing.TB, p *process) (cpu time.Duration, rssKiB int) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		require.NoError(t, err)
		cpu += time.Duration(n) * time.Second / clockTicks
	}
	pages, err := strconv.Atoi(fields[21])
	require.NoError(t, err)
	return cpu, pages * os.Getpagesize() / 1024
}

// BenchmarkDaemonCost measures what an entry and a scheduler spend without
// requests, against the number of upstreams that announce themselves to the
// entry each second.
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
				s.Entries = []string{"http://" + c.entries[0]}
				_, err := standin.Start(ctx, s)
				require.NoError(b, err)
			}
			c.awaitLive(n)
			b.ResetTimer()
			for range b.N {
				entryCPU, _ := usage(b, entry)
				schedulerCPU, _ := usage(b, scheduler)
				time.Sleep(costWindow)
				entryAfter, entryRSS := usage(b, entry)
				schedulerAfter, schedulerRSS := usage(b, scheduler)
				percent := func(d time.Duration) float64 { return 100 * d.Seconds() / costWindow.Seconds() }
				b.ReportMetric(percent(entryAfter-entryCPU), "entry-%core")
				b.ReportMetric(percent(schedulerAfter-schedulerCPU), "scheduler-%core")
				b.ReportMetric(float64(entryRSS)/1024, "entry-MiB")
				b.ReportMetric(float64(schedulerRSS)/1024, "scheduler-MiB")
			}
		})
	}
}
