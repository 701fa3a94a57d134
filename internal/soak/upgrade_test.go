package soak

import (
	"context"
	"fmt"
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
	c.servedBy("a", "old", "entry-0 (old; core old, new)")
	c.servedBy("b", "new", "entry-1 (new; core old, new)")
	c.runs["a"] = []standin.Origin{{Service: "s", Version: "v1"}}
	c.runs["b"] = []standin.Origin{{Service: "s", Version: "v2"}}
	c.streamRead("a", "a", []standin.Event{{ID: 1, Origin: c.runs["a"][0]}})
	c.streamRead("a", "b", []standin.Event{{ID: 2, Origin: c.runs["b"][0]}})
	c.checkRuns()
	require.Len(t, c.findings, 1)
	require.Contains(t, c.findings[0], "b at entry-1 (new; core old, new); a at entry-0 (old; core old, new)")
	require.Equal(t, map[string]int{"new": 1}, c.findingBuilds)
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
