package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// An upstream that fails part of its calls but is not in backoff must lose calls
// to healthy ones, and one whose calls time out must get none while others serve.
func TestPickAvoidsFailingUpstreams(t *testing.T) {
	var healthy, failing, timedOut Health
	var load EngineLoad
	for range 30 {
		healthy.Succeeded(0)
		failing.Failed(0, FaultError)
		failing.Succeeded(0)
	}
	timedOut.Failed(time.Second, FaultTimeout)
	list := []Candidate{{Health: &failing, Load: &load}, {Health: &timedOut, Load: &load}, {Health: &healthy, Load: &load}}
	for r := 0.0; r < 1; r += 0.1 {
		require.Equal(t, 2, PickUpstream(list, time.Second, r))
	}
	list[2].Tried = true
	require.Equal(t, 0, PickUpstream(list, time.Second, 0))
}

// A single upstream is used whatever its health: rejecting the request would
// not help its caller.
func TestPickKeepsTheLastUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Health
		var load EngineLoad
		for range rapid.IntRange(0, 20).Draw(t, "faults") {
			h.Failed(0, Fault(rapid.IntRange(1, 4).Draw(t, "fault")))
		}
		c := Candidate{Health: &h, Load: &load, Suspect: rapid.Bool().Draw(t, "doubtful"), Tried: rapid.Bool().Draw(t, "tried")}
		if PickUpstream([]Candidate{c}, 0, rapid.Float64Range(0, 0.999).Draw(t, "r")) != 0 {
			t.Fatal("the only upstream was not picked")
		}
	})
	require.Equal(t, -1, PickUpstream(nil, 0, 0.5))
}

// Entries with the same view must not all select the same upstream.
func TestPickSpreadsTies(t *testing.T) {
	var h Health
	var load EngineLoad
	list := make([]Candidate, 4)
	for i := range list {
		list[i] = Candidate{Health: &h, Load: &load}
	}
	seen := map[int]bool{}
	for r := 0.0; r < 1; r += 0.05 {
		seen[PickUpstream(list, 0, r)] = true
	}
	require.Len(t, seen, 4)
}

// Entries whose calls take less than the nominal time must try upstreams of which they know
// no latency, and must not prefer those to known ones of nominal speed.
func TestPickTriesUpstreamsOfUnknownLatency(t *testing.T) {
	for _, known := range []float64{0.25, 1, 4} {
		var h Health
		var tried, unknown EngineLoad
		tried.RecordLatency(known)
		seen := [2]int{}
		for r := 0.0; r < 1; r += 0.1 {
			seen[PickUpstream([]Candidate{{Health: &h, Load: &tried}, {Health: &h, Load: &unknown}}, 0, r)]++
		}
		require.NotZero(t, seen[1], "known latency %g", known)
		require.Equal(t, known <= 1, seen[0] > 0, "known latency %g", known)
	}
}

// A backoff must end by itself, or a recovered upstream is never used again.
func TestBackoffEnds(t *testing.T) {
	var h Health
	for range 50 {
		h.Failed(time.Second, FaultUnreachable)
	}
	require.True(t, h.InBackoff(time.Second+maxBackoff-1))
	require.False(t, h.InBackoff(time.Second+maxBackoff))
}

// A reported load counts the requests of other entries and decays with age; own
// requests are counted exactly.
func TestReportedLoadDecays(t *testing.T) {
	var l EngineLoad
	l.Begin(Work{})
	l.Reported(5, 1, 0)
	require.InDelta(t, 6, l.Requests(0), 1e-9)
	require.Less(t, l.Requests(reportDecayTime), 3.0)
	l.End(Work{})
	require.GreaterOrEqual(t, l.Requests(0), 0.0)
}

// The retries of any nine tenths of a window must stay within the budget for the
// requests of the whole window, in any order of requests and retries: counts
// expire by whole buckets, up to a tenth of a window early.
func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := RetryBudget{Ratio: 0.2, Slack: 3, Window: 10 * time.Second}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.Take(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			spent, requested := 0, 0
			for _, at := range retries {
				if at <= end && end-at <= 10*time.Second {
					spent++
				}
			}
			for _, at := range requests {
				if at <= end && end-at <= 10*time.Second {
					requested++
				}
			}
			if float64(spent) > 0.2*float64(requested)+3+1e-9 {
				t.Fatalf("%d retries for %d requests before %v", spent, requested, end)
			}
		}
	})
}

// Guards against entries that all spend what becomes available at the start of each
// time slot: eleven such starts fell into a window of ten slots, and a service got more
// retries than the budget of the whole system.
func TestRetryBudgetHoldsWhenAllOfItIsSpentAtOnce(t *testing.T) {
	const window = 10 * time.Second
	b := RetryBudget{Ratio: 0.2, Slack: 3, Window: window}
	var retries []time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 10 * time.Millisecond {
		b.RecordRequest(now)
		for b.Take(now) {
			retries = append(retries, now)
		}
	}
	spent := 0
	for first, last := 0, 0; last < len(retries); last++ {
		for retries[last]-retries[first] > window {
			first++
		}
		spent = max(spent, last-first+1)
	}
	require.LessOrEqual(t, spent, 203, "1,000 requests in each window")
	require.GreaterOrEqual(t, len(retries), 1_000, "the budget of 1,200 in 60 s is used")
}
