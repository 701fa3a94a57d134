package load

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/internal/standin"
)

func testOptions(workload string) Options {
	return Options{Workload: Workloads()[workload], Load: 15, Duration: 3 * time.Second, Seed: 7}
}

func runWith(t *testing.T, fault string, o Options) *Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	report, err := RunSystem(ctx, naiveSystem{}, o, fault)
	require.NoError(t, err)
	return report
}

// Guards against checks that find faults in a router that has none.
func TestCorrectRouterPasses(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"kiritani", "vodnarka"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := runWith(t, "", testOptions(name))
			var out bytes.Buffer
			report.Print(&out)
			t.Log(out.String())
			require.False(t, report.Failed())
			require.Positive(t, report.Good)
			require.NoError(t, report.Plot(&out))
		})
	}
}

// Guards against checks that overlook a broken promise: each router here
// breaks one and must be found out by the count for it.
func TestBrokenRouterIsFound(t *testing.T) {
	t.Parallel()
	cases := map[string]func(*Report) int{
		"cut-off":       func(r *Report) int { return r.CutOff },
		"lossy":         func(r *Report) int { return r.Lost },
		"rerun":         func(r *Report) int { return r.Reran },
		"false-not-run": func(r *Report) int { return r.Reran },
		"leak":          func(r *Report) int { return r.LeakedPieces },
		"duplicate":     func(r *Report) int { return r.Duplicated },
	}
	for fault, count := range cases {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			o := testOptions("kiritani")
			o.Duration = 2 * time.Second
			// Enough short completions and plain calls to meet each fault.
			o.Load, o.UrgentLoad = 5, 60
			report := runWith(t, fault, o)
			require.True(t, report.Failed())
			require.Positive(t, count(report), report.Summary())
		})
	}
}

// Guards against a comparison that mixes up the figures of its policies, or
// gives them different arrivals.
func TestCompare(t *testing.T) {
	t.Parallel()
	o := testOptions("kiritani")
	o.Duration = time.Second
	compared, err := Compare(context.Background(), naiveSystem{}, o, []string{"", "lossy"}, 1)
	require.NoError(t, err)
	require.Len(t, compared, 2)
	correct, lossy := compared[0].Report, compared[1].Report
	require.False(t, correct.Failed(), correct.problems)
	require.Positive(t, lossy.Lost)
	require.Equal(t, correct.Bound, lossy.Bound)
	require.Equal(t, lossy.Lost, Merge(compared).Lost)
}

// Guards against a fault schedule whose faults don't reach the stand-ins, and
// against checks that overlook what a router without retries then breaks.
func TestFaultsReachStandIns(t *testing.T) {
	t.Parallel()
	o := testOptions("vodnarka")
	o.FaultInterval = 50 * time.Millisecond
	report := runWith(t, "", o)
	require.True(t, report.Failed(), report.Summary())
	require.Positive(t, report.CutOff+report.Lost)
}

// Guards against a comparison in which the policies see different arrivals.
func TestSameSeedSameCalls(t *testing.T) {
	w := Workloads()["kiritani"]
	for i := range w.Kinds {
		k := &w.Kinds[i]
		first := generate(rand.New(rand.NewPCG(3, 1)), k, 20, 10*time.Second, "run")
		again := generate(rand.New(rand.NewPCG(3, 1)), k, 20, 10*time.Second, "run")
		require.Equal(t, first, again)
		require.InDelta(t, 200, len(first), 80, "mean rate")
	}
	require.Equal(t, faultSchedule(3, w.Fleet, time.Second, 10*time.Second), faultSchedule(3, w.Fleet, time.Second, 10*time.Second))
}

// Guards against a bound that rejects what the arithmetic in its comment
// allows: below capacity it is the offered number, above it the capacity.
func TestBound(t *testing.T) {
	c, err := fleetCapacity([]standin.Settings{
		{ID: "p", Service: "s", Role: standin.RolePrefill, PrefillTokensPerSecond: 1_000},
		{ID: "d", Service: "s", Role: standin.RoleDecode},
	})
	require.NoError(t, err)
	urgent, draft := &Kind{Urgent: true}, &Kind{}
	prompt := string(make([]byte, 4*500))
	var calls []*Call
	for range 4 {
		calls = append(calls, &Call{Kind: urgent, Prompt: prompt, OutputTokens: 1})
		calls = append(calls, &Call{Kind: draft, Prompt: prompt, OutputTokens: 1})
	}
	require.InDelta(t, 8, c.bound(calls, 10*time.Second), 0.001)
	// 3 s compute 3,000 tokens: 4 urgent prompts and 2 drafts.
	require.InDelta(t, 6, c.bound(calls, 3*time.Second), 0.001)
}
