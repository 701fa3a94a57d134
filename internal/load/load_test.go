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

func runNaive(t *testing.T, defect string, o Options) *Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	report, err := RunSystem(ctx, naiveSystem{}, o, defect)
	require.NoError(t, err)
	return report
}

// Guards against checks that report violations for a correct router.
func TestCorrectRouterPasses(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"kiritani", "vodnarka"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := runNaive(t, "", testOptions(name))
			var out bytes.Buffer
			report.Print(&out)
			t.Log(out.String())
			require.False(t, report.Failed())
			require.Positive(t, report.Good)
			require.NoError(t, report.Plot(&out))
		})
	}
}

// Guards against checks that miss a violation. Each router here has one defect,
// which must show up in the count for it.
func TestDefectiveRouterFails(t *testing.T) {
	t.Parallel()
	cases := map[string]func(*Report) int{
		"cut-off":       func(r *Report) int { return r.Truncated },
		"lossy":         func(r *Report) int { return r.Lost },
		"rerun":         func(r *Report) int { return r.Reran },
		"false-not-run": func(r *Report) int { return r.Reran },
		"leak":          func(r *Report) int { return r.LeakedPieces },
		"duplicate":     func(r *Report) int { return r.Duplicated },
	}
	for defect, count := range cases {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			o := testOptions("kiritani")
			o.Duration = 2 * time.Second
			// Enough short completions and plain calls to trigger each defect.
			o.Load, o.UrgentLoad = 5, 60
			report := runNaive(t, defect, o)
			require.True(t, report.Failed())
			require.Positive(t, count(report), report.Summary())
		})
	}
}

// Guards against a comparison that mixes up the results of its policies or
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
	require.Equal(t, correct.MaxGood, lossy.MaxGood)
	require.Equal(t, lossy.Lost, Merge(compared).Lost)
}

// Guards against a fault schedule whose faults do not reach the stand-ins, and
// against checks that miss the failures that they cause in a router without
// retries.
func TestFaultsReachStandIns(t *testing.T) {
	t.Parallel()
	o := testOptions("vodnarka")
	o.FaultInterval = 50 * time.Millisecond
	report := runNaive(t, "", o)
	require.True(t, report.Failed(), report.Summary())
	require.Positive(t, report.Truncated+report.Lost)
}

// Guards against calls or faults that differ between runs with the same seed,
// and against a run whose offered load is not the requested one.
func TestSameSeedSameCalls(t *testing.T) {
	for name, w := range Workloads() {
		fleetCap, err := fleetCapacity(w.Fleet)
		require.NoError(t, err)
		o := testOptions(name)
		o.Load, o.Duration = 150, 10*time.Second
		r := &runner{Options: o, id: "run"}
		calls := r.calls(&fleetCap)
		require.Equal(t, calls, r.calls(&fleetCap))
		var offered demand
		for _, c := range calls {
			offered = offered.addScaled(fleetCap.demandOf(c), 1)
			require.LessOrEqual(t, c.At, o.Duration+burstSpread)
		}
		full := w.fullLoad(&fleetCap)
		require.InDelta(t, 1.5, offered[full.bottleneck]/o.Duration.Seconds(), 0.02)
		require.Equal(t, faultSchedule(3, w.Fleet, time.Second, o.Duration), faultSchedule(3, w.Fleet, time.Second, o.Duration))
	}
}

// Guards against a maxGood that is not min(offered, capacity) as its comment
// says: the offered number below capacity, else what the capacity allows.
func TestMaxGood(t *testing.T) {
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
	require.InDelta(t, 8, c.maxGood(calls, 10*time.Second), 0.001)
	// In 3 s the engine prefills 3,000 tokens: 4 urgent prompts and 2 drafts.
	require.InDelta(t, 6, c.maxGood(calls, 3*time.Second), 0.001)
}
