package soak

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// The runners of a run may be processes of this program.
func TestMain(m *testing.M) {
	if served, err := standin.ServeProcess(); served {
		if err != nil {
			panic(err)
		}
		return
	}
	os.Exit(m.Run())
}

// A run must be repeatable from its seed.
func TestScheduleDependsOnSeedAlone(t *testing.T) {
	a, b := planFaults(7, time.Minute, allFaultKinds), planFaults(7, time.Minute, allFaultKinds)
	require.Equal(t, a, b)
	require.NotEqual(t, a, planFaults(8, time.Minute, allFaultKinds))
	require.NotEmpty(t, a)
}

// Each check must detect the violation that it is meant for.
func TestChecksDetectViolations(t *testing.T) {
	for name, violate := range map[string]func(c *checker){
		"twice": func(c *checker) {
			c.requestSent("a", true)
			c.requestRan(standin.Run{ID: "a"})
			c.requestRan(standin.Run{ID: "a"})
		},
		"twice, by work": func(c *checker) {
			c.requestSent("a", true)
			c.requestRan(standin.Run{ID: "a", Work: "a"})
			c.requestSent("a.1", true)
			c.requestRan(standin.Run{ID: "a.1", Work: "a"})
		},
		"refused": func(c *checker) {
			c.requestSent("a", true)
			c.requestRan(standin.Run{ID: "a"})
			c.checkPlain("a", outcome{status: 503, complete: true})
			c.checkRefusals()
		},
		"refused, runs later": func(c *checker) {
			c.requestSent("a", true)
			c.checkStream("a", outcome{status: 408, complete: true}, nil, 0, 3)
			c.requestRan(standin.Run{ID: "a"})
			c.checkRefusals()
		},
		"mixed, stamp": func(c *checker) { c.checkPlain("a", outcome{status: 502, complete: true}) },
		"mixed, no stamp": func(c *checker) {
			c.checkPlain("a", outcome{status: 200, complete: true, body: "answer a", unstamped: true})
		},
		"mixed":        func(c *checker) { c.checkPlain("a", outcome{status: 200, complete: true, body: "answer b"}) },
		"order, twice": func(c *checker) { c.checkStream("a", outcome{status: 200}, eventsOf("a 1", "a 1"), 0, 3) },
		"order, gap":   func(c *checker) { c.checkStream("a", outcome{status: 200}, eventsOf("a 1", "a 3"), 0, 3) },
		"order, short": func(c *checker) { c.checkStream("a", outcome{status: 200, complete: true}, eventsOf("a 1"), 0, 3) },
		"order, missing piece": func(c *checker) {
			c.checkStream("a", outcome{status: 200, complete: true}, eventsOf("a 1", "a 3"), 0, 3)
		},
		"order, taken up": func(c *checker) { c.checkStream("a", outcome{status: 200}, eventsOf("a 1"), 2, 3) },
		"drain": func(c *checker) {
			c.leaveAckedAt["i-1"] = time.Now().Add(-time.Minute)
			c.requestArrived(standin.Run{ID: "a", Runner: "i-1", At: time.Now()})
		},
		"config":              func(c *checker) { c.checkVersion(3, 4) },
		"stop, still running": func(c *checker) { c.checkStop("entry-0", false, nil) },
		"stop, by a signal":   func(c *checker) { c.checkStop("entry-0", true, errors.New("signal: hangup")) },
		"logs": func(c *checker) {
			dir := t.TempDir()
			lines := "event=process.started\nevent=request.ended reason=\"panic: quoted\"\nWARNING: DATA RACE\npanic: late\n"
			require.NoError(t, os.WriteFile(filepath.Join(dir, "entry-0.log"), []byte(lines), 0o600))
			c.checkLogs(dir, func(string, int64) string { return "" })
		},
	} {
		c := newChecker()
		violate(c)
		require.Len(t, c.findings, 1, name)
	}
}

// Guards against callers who leave on purpose being counted as not served, and against
// any other request being left out.
func TestOnlyCallersWhoStayAreCounted(t *testing.T) {
	c := newChecker()
	c.checkStream("left", outcome{status: 200, truncated: true, left: true}, eventsOf("left 1", "left 2"), 0, 3)
	c.checkStream("broken", outcome{status: 200, truncated: true}, eventsOf("broken 1", "broken 2"), 0, 3)
	c.checkPlain("refused", outcome{status: 503, complete: true})
	c.checkPlain("served", outcome{status: 200, complete: true, body: "answer served"})
	served, total := c.countServed()
	require.Equal(t, []int{1, 3}, []int{served, total})
}

// Faults of core daemons must stay within the group's fault tolerance. Otherwise
// the soak test reports failures that the system does not have to survive.
func TestScheduleStaysWithinFaultTolerance(t *testing.T) {
	for seed := range uint64(200) {
		var earlier []fault
		for _, f := range planFaults(seed, 2*time.Minute, []faultKind{killCore, wipeCore, pauseCore, killAllCores}) {
			down := 1
			for _, b := range earlier {
				if f.startAt < b.startAt+b.duration {
					down++
				}
			}
			require.LessOrEqual(t, down, faultTolerance, "seed %d", seed)
			earlier = append(earlier, f)
		}
	}
}

// Guards against a process that a further signal ends while it completes its requests:
// entries that were stopped as their settings changed cut off the streams they held.
func TestOverlappingSignalsDoNotEndAStopEarly(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "godwitward.example/godwitward/cmd/gw-edge", "godwitward.example/godwitward/cmd/gw-core")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	findings, err := Run(context.Background(), Options{
		Seed: 31, Duration: 8 * time.Second, Entries: 3, Runners: 4, Engines: 4, Binaries: dir, Dir: dir, Out: io.Discard,
		Faults: []string{string(stopEntry), string(stopCore), string(reloadSettings)},
	})
	require.NoError(t, err)
	require.Empty(t, findings)
}
