package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// Guards against an upgrade that leaves a daemon out, ends with another build than it says,
// or can't be repeated from its seed.
func TestUpgradesEndWithOneBuild(t *testing.T) {
	const entries, cores = 7, 5
	for seed := range uint64(200) {
		u := &Upgrade{Order: UpgradeOrders[seed%3], End: UpgradeEnds[seed/3%3]}
		steps := planUpgrade(seed, u, entries, cores)
		require.Equal(t, steps, planUpgrade(seed, u, entries, cores))
		upgraded := map[string]bool{}
		for _, s := range steps {
			daemon := fmt.Sprint(s.core, s.target)
			require.Equal(t, s.back, upgraded[daemon], "seed %d: %v", seed, s)
			upgraded[daemon] = !s.back
		}
		count := 0
		for _, present := range upgraded {
			if present {
				count++
			}
		}
		want := entries + cores
		if u.End == UpgradeBack {
			want = 0
		}
		require.Equal(t, want, count, "seed %d, %s", seed, u.End)
		if u.Order == Interleaved {
			continue
		}
		require.Equal(t, u.Order == CoreFirst, steps[0].core)
	}
}

// Guards against findings that don't say which build took the wrong step.
func TestFindingsNameTheBuilds(t *testing.T) {
	c := newChecker()
	c.servedBy("a", server{build: "old", description: "entry-0 (old; core old, new)"})
	c.servedBy("b", server{build: "new", description: "entry-1 (new; core old, new)"})
	c.runs["a"] = []standin.Origin{{Service: "s", Version: "v1"}}
	c.runs["b"] = []standin.Origin{{Service: "s", Version: "v2"}}
	c.streamRead("a", "a", []standin.Event{{ID: 1, Origin: c.runs["a"][0]}})
	c.streamRead("a", "b", []standin.Event{{ID: 2, Origin: c.runs["b"][0]}})
	c.checkRuns()
	require.Len(t, c.findings, 1)
	require.Contains(t, c.findings[0], "b at entry-1 (new; core old, new); a at entry-0 (old; core old, new)")
	require.Equal(t, map[string]bool{"a": true, "b": true}, c.requestsWithFindings())
	d := decisions{placed: []string{"placed by core-1 (old): attempt=1"}, ended: []string{"ended at entry-1 (new): status=200"}, builds: []string{"old"}}
	c.attribute(map[string]decisions{"b": d})
	require.Contains(t, c.findings[0], "b placed by core-1 (old): attempt=1, ended at entry-1 (new): status=200")
	var out strings.Builder
	c.printBuilds(&out, logFindings{decisions: map[string]decisions{"b": d}, failures: map[failure]int{{duringUpgrade, "old", "no_upstream"}: 3}})
	require.Contains(t, out.String(), "during the upgrade: entries of old did not serve 3 requests: no_upstream\n")
	require.Contains(t, out.String(), "1 findings of order, software: entry of new, placed by a core daemon of old\n")
}

// Guards against findings that are attributed to the build that a daemon had later.
func TestLogLinesAreAttributedToTheBuildThatWroteThem(t *testing.T) {
	dir := t.TempDir()
	logs := []string{
		"time=1 event=request.placed id=a attempt=1 upstream=i-1 lease=engines#2 detail=\"x y\"\n",
		"time=2 event=request.placed id=a attempt=2 upstream=i-2 lease=engines#3\ntime=2 event=request.placed id=other attempt=1\n",
		"time=3 event=request.ended id=b status=503 reason=no_upstream ms=1\npanic: x\n",
	}
	p := &process{node: standin.NodeFile{Name: "core-0"}, logFile: filepath.Join(dir, "core-0.log")}
	size := 0
	for i, build := range []string{"old", "new", "old"} {
		p.starts = append(p.starts, processStart{build: build, logOffset: int64(size)})
		size += len(logs[i])
	}
	require.NoError(t, os.WriteFile(p.logFile, []byte(strings.Join(logs, "")), 0o600))
	s := &system{opts: Options{Upgrade: &Upgrade{}}, cores: []*process{p}, check: newChecker()}
	found := s.readLogs(map[string]bool{"a": true})
	require.Equal(t, map[string]decisions{"a": {
		placed: []string{"placed by core-0 (old): attempt=1 upstream=i-1 lease=engines#2", "placed by core-0 (new): attempt=2 upstream=i-2 lease=engines#3"},
		builds: []string{"old", "new"},
	}}, found.decisions)
	require.Equal(t, map[failure]int{{beforeUpgrade, "old", "no_upstream"}: 1}, found.failures)
	s.check.checkLogs(dir, s.buildOfLog)
	require.Len(t, s.check.findings, 1)
	require.Contains(t, s.check.findings[0], "core-0.log line 5 (old): panic: x")
}

// Guards against an upgrade during which callers are not served, and against one that is
// blamed for what other faults do.
func TestCallersAreServedDuringUpgrades(t *testing.T) {
	for name, test := range map[string]struct {
		phase    phase
		fault    bool
		findings int
	}{
		"during":         {duringUpgrade, false, 1},
		"before":         {beforeUpgrade, false, 0},
		"beside a fault": {duringUpgrade, true, 0},
	} {
		c := newChecker()
		if test.fault {
			c.faultStarted()
		}
		for i := range 10 {
			id := fmt.Sprint(i)
			c.servedBy(id, server{build: "new", phase: test.phase, sentAt: time.Now()})
			status := 503
			if i < 3 {
				status = 200
			}
			c.checkPlain(id, outcome{status: status, complete: true, body: "answer " + id, unstamped: status != 200})
		}
		c.checkServedDuringUpgrade()
		require.Len(t, c.findings, test.findings, name)
		if test.findings > 0 {
			require.Contains(t, c.findings[0], "serve, both builds: 3 of 10 requests served during the upgrade while there was no fault: entries of new 3 of 10")
		}
	}
}

// Guards against steps that leave more core daemons unavailable than the group tolerates.
func TestUpgradeStepsLeaveTheCoreAMajority(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	s := &system{opts: Options{Upgrade: &Upgrade{}}}
	for _, target := range []int{0, 0, 1} {
		s.coreFault(context.Background(), fault{kind: stopCore, target: target})()
	}
	require.Equal(t, 2, s.unavailableCores(fault{kind: killCore, target: 2}))
	require.Equal(t, 1, s.unavailableCores(fault{kind: killCore, target: 1}))
	require.Equal(t, 2, s.unavailableCores(fault{kind: killAll}))
	s.coreFault(ctx, fault{kind: stopCore, target: 2})
	require.Error(t, ctx.Err(), "a third core daemon was ended while two were unavailable")
}

// Guards against an upgrade from a commit that is not there which looks like one that was
// played.
func TestUpgradeFromAMissingCommitIsAnError(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := OpenBuild(ctx, "0123456789abcdef0123456789abcdef01234567", t.TempDir())
	require.ErrorContains(t, err, "is neither a folder with gw-edge and gw-core nor a commit in the history")
	_, err = OpenBuild(ctx, t.TempDir(), t.TempDir())
	require.ErrorContains(t, err, "is neither a folder with gw-edge and gw-core nor a commit in the history")
}
