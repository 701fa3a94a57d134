package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// A run must be repeatable from its seed.
func TestScheduleDependsOnSeedAlone(t *testing.T) {
	a, b := plan(7, time.Minute, allKinds), plan(7, time.Minute, allKinds)
	require.Equal(t, a, b)
	require.NotEqual(t, a, plan(8, time.Minute, allKinds))
	require.NotEmpty(t, a)
}

// Each check must see the broken promise that it is for.
func TestChecksSeeBrokenPromises(t *testing.T) {
	for name, breakIt := range map[string]func(c *checker){
		"twice": func(c *checker) {
			c.sent("a", true)
			c.ran(standin.Run{ID: "a"})
			c.ran(standin.Run{ID: "a"})
		},
		"refused": func(c *checker) {
			c.sent("a", true)
			c.ran(standin.Run{ID: "a"})
			c.plainEnded("a", outcome{status: 503, whole: true})
			c.refusals()
		},
		"mixed":        func(c *checker) { c.plainEnded("a", outcome{status: 200, whole: true, body: "answer b"}) },
		"order, twice": func(c *checker) { c.streamEnded("a", outcome{status: 200}, []string{"a 1", "a 1"}, 3) },
		"order, gap":   func(c *checker) { c.streamEnded("a", outcome{status: 200}, []string{"a 1", "a 3"}, 3) },
		"order, short": func(c *checker) { c.streamEnded("a", outcome{status: 200, whole: true}, []string{"a 1"}, 3) },
		"drain": func(c *checker) {
			c.leftAt["i-1"] = time.Now().Add(-time.Minute)
			c.arrived(standin.Run{ID: "a", Runner: "i-1", At: time.Now()})
		},
		"config": func(c *checker) { c.versionRead(3, 4) },
		"logs": func(c *checker) {
			dir := t.TempDir()
			lines := "event=process.started\nevent=request.ended reason=\"panic: quoted\"\nWARNING: DATA RACE\npanic: late\n"
			require.NoError(t, os.WriteFile(filepath.Join(dir, "entry-0.log"), []byte(lines), 0o600))
			c.logs(dir)
		},
	} {
		c := newChecker()
		breakIt(c)
		require.Len(t, c.findings, 1, name)
	}
}

// Faults of core daemons must stay within what the group tolerates, or the
// soak reports what nobody promised.
func TestScheduleLosesNoMoreThanTolerated(t *testing.T) {
	for seed := range uint64(200) {
		var busy []fault
		for _, f := range plan(seed, 2*time.Minute, []kind{killCore, wipeCore, pauseCore, killAll}) {
			lost := 1
			for _, b := range busy {
				if f.at < b.at+b.last {
					lost++
				}
			}
			require.LessOrEqual(t, lost, tolerated, "seed %d", seed)
			busy = append(busy, f)
		}
	}
}
