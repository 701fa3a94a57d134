package load

import (
	"bytes"
	"context"
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

// Guards against a comparison in which the policies see different arrivals,
// and against a run whose offered load isn't the one that was asked for.
func TestSameSeedSameCalls(t *testing.T) {
	for name, w := range Workloads() {
		size, err := fleetCapacity(w.Fleet)
		require.NoError(t, err)
		o := testOptions(name)
		o.Load, o.Duration = 150, 10*time.Second
		r := &runner{Options: o, id: "run"}
		calls := r.calls(&size)
		require.Equal(t, calls, r.calls(&size))
		var used demand
		for _, c := range calls {
			used = used.plus(size.demandOf(c), 1)
			require.LessOrEqual(t, c.At, o.Duration+burstSpread)
		}
		m := w.mix(&size)
		require.InDelta(t, 1.5, used[m.scarcest]/o.Duration.Seconds(), 0.02)
		require.Equal(t, faultSchedule(3, w.Fleet, time.Second, o.Duration), faultSchedule(3, w.Fleet, time.Second, o.Duration))
	}
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
