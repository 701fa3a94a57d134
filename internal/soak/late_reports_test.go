package soak

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// reportCounter simulates core daemons. It records the starts that reports state.
type reportCounter struct {
	mu     sync.Mutex
	starts []int64
}

func (c *reportCounter) ServeHTTP(_ http.ResponseWriter, req *http.Request) {
	var report struct {
		StartMs int64 `json:"born"`
	}
	_ = json.NewDecoder(req.Body).Decode(&report)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, report.StartMs)
}

func (c *reportCounter) received() []int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.starts)
}

// startReportingRunner starts an engine behind a proxy that reports to the counter.
func startReportingRunner(t *testing.T, processes bool) (*system, *reportCounter) {
	t.Helper()
	counter := &reportCounter{}
	server := httptest.NewServer(counter)
	s := &system{check: newChecker(), processes: processes, restarting: map[string]bool{}, lateCores: map[int]time.Duration{}}
	address := server.Listener.Addr().(*net.TCPAddr)
	s.ports.control = address.Port
	for range coreCount {
		s.cores = append(s.cores, &process{node: standin.NodeFile{IP: address.IP.String()}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, s.addRunner(ctx, smallShape.engine(0, 1)))
	t.Cleanup(func() {
		cancel()
		s.runners[0].Stop()
		s.runners[0].proxy.close()
		server.Close()
	})
	require.Eventually(t, func() bool { return len(counter.received()) > 0 }, 5*time.Second, time.Millisecond)
	return s, counter
}

// askedStart returns the start that the process at a runner's address tells.
func askedStart(t *testing.T, r *proxiedRunner) int64 {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.proxy.address() + "/report")
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var report struct {
		StartMs int64 `json:"born"`
	}
	require.NoError(t, json.Unmarshal(body, &report))
	return report.StartMs
}

// Guards against restarted runners that report before they serve, so that no stream reaches
// one whose report is late, and against a start that differs from that in the reports.
func TestRestartedRunnersServeBeforeTheyReport(t *testing.T) {
	for name, processes := range map[string]bool{"runner in the soak": false, "runner process": true} {
		t.Run(name, func(t *testing.T) {
			s, counter := startReportingRunner(t, processes)
			old := s.runners[0]
			require.Equal(t, counter.received()[0], askedStart(t, old))
			const reportDelay = 2 * time.Second
			runner := s.restartInPlace(t.Context(), old, reportDelay)
			require.NotNil(t, runner)
			start := askedStart(t, runner)
			require.Greater(t, start, old.StartMs)
			require.NotContains(t, counter.received(), start)
			require.Equal(t, old.proxy.address(), runner.proxy.address())
			require.NotEqual(t, old.Version, runner.Version)
			require.Eventually(t, func() bool { return slices.Contains(counter.received(), start) }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against reports that never arrive after a later start of their runner.
func TestLateReportsArriveAfterALaterStart(t *testing.T) {
	s, counter := startReportingRunner(t, false)
	old := s.runners[0]
	for core := range coreCount {
		s.mu.Lock()
		s.lateCores[core] = 3 * time.Second
		s.mu.Unlock()
	}
	time.Sleep(2 * reportInterval)
	s.mu.Lock()
	clear(s.lateCores)
	s.mu.Unlock()
	runner := s.restartInPlace(t.Context(), old, 0)
	require.Eventually(t, func() bool {
		starts := counter.received()
		later := slices.Index(starts, runner.StartMs)
		return later >= 0 && slices.Contains(starts[later:], old.StartMs)
	}, 10*time.Second, time.Millisecond)
}

// Guards against series of restarts that are not repeatable, in which no process ends before
// its report or after it, or whose reports are late by other times than stated.
func TestSeriesOfRestartsDependOnTheFaultAlone(t *testing.T) {
	endedBefore, endedAfter := 0, 0
	for _, kind := range []faultKind{restartUnreported, restartTwice, staleReports} {
		for _, f := range planFaults(7, time.Minute, []faultKind{kind}) {
			restarts := planRestarts(f)
			require.Equal(t, restarts, planRestarts(f))
			require.GreaterOrEqual(t, len(restarts), 2)
			for _, r := range restarts {
				require.GreaterOrEqual(t, r.reportDelay, minReportDelay)
				require.LessOrEqual(t, r.reportDelay, maxReportDelay)
				require.Equal(t, kind == staleReports, r.staleAt != nil)
				require.Equal(t, kind == restartTwice, r.endAt > 0)
				if r.endAt > r.reportDelay {
					endedAfter++
				} else if r.endAt > 0 {
					endedBefore++
				}
			}
		}
	}
	require.Positive(t, endedBefore)
	require.Positive(t, endedAfter)
}
