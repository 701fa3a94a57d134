package request

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/upstream"
)

// Guards against a call that runs twice, a wrong "not run" to the caller or the
// ledger, a claim that stays open, and a caller with no outcome or two, under
// any interleaving of messages, losses, duplicates, timeouts and disconnects.
func TestCallUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		spec := CallSpec{
			NonRepeatable: rapid.Bool().Draw(t, "non_repeatable"), Keyed: rapid.Bool().Draw(t, "keyed"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: now.Add(10 * time.Second),
			ClaimTimeout: time.Second, MaxAttempts: 3, Budget: randomBudget{t},
		}
		m := NewCall(spec)
		var pending []Event
		var finished []Outcome
		var records []*RecordOutcome
		runs, sent := 0, 0
		// recordsAtClaim is the number of recorded outcomes when the claim took
		// effect, which is at the latest when its response arrives.
		recordsAtClaim := -1
		kinds := []upstream.ErrorKind{upstream.KindNotSent, upstream.KindNotRun, upstream.KindOutcomeUnknown, upstream.KindFailed}
		perform := func(a Action) {
			switch a := a.(type) {
			case *ClaimKey:
				result := rapid.SampledFrom([]pb.ClaimResponse_Result{1, 1, 1, 1, 2, 3, 4, 5, 6, 7}).Draw(t, "claim")
				if rapid.Bool().Draw(t, "claim_lost") {
					pending = append(pending, &ClaimFailed{})
				}
				pending = append(pending, &ClaimAnswered{Response: &pb.ClaimResponse{Result: result, Answer: &pb.RecordedAnswer{}}})
			case *Send:
				require.Empty(t, finished)
				sent++
				kind := rapid.SampledFrom(kinds).Draw(t, "kind")
				switch rapid.IntRange(0, 5).Draw(t, "upstream") {
				case 0:
					pending = append(pending, &NoUpstream{Attempt: a.Attempt})
				case 1:
					runs++ // and sends no response
				case 2:
					runs++
					pending = append(pending, &ResponseStarted{Attempt: a.Attempt}, &SendFailed{Attempt: a.Attempt, Kind: upstream.KindOutcomeUnknown})
				case 3:
					if kind == upstream.KindOutcomeUnknown || kind == upstream.KindFailed {
						runs++
					}
					pending = append(pending, &SendFailed{Attempt: a.Attempt, Kind: kind})
				default:
					runs++
					pending = append(pending, &ResponseStarted{Attempt: a.Attempt}, &ResponseComplete{Attempt: a.Attempt})
				}
			case *RecordOutcome:
				records = append(records, a)
			case *Finish:
				finished = append(finished, a.Outcome)
			}
		}
		step := func(ev Event) {
			if c, ok := ev.(*ClaimAnswered); ok && c.Response.Result == pb.ClaimResponse_CLAIMED && recordsAtClaim < 0 {
				recordsAtClaim = len(records)
			}
			for _, a := range slices.Clone(m.Step(now, ev)) {
				perform(a)
			}
		}
		step(&Start{})
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch n := rapid.IntRange(0, 12).Draw(t, "op"); {
			case n == 0:
				step(&CallerGone{})
			case n == 12:
				step(&Stopped{})
			case n <= 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				step(&Tick{})
			case len(pending) > 0:
				ev := pending[0]
				if n > 3 {
					pending = pending[1:]
				}
				step(ev)
			}
		}
		for len(pending) > 0 {
			ev := pending[0]
			pending = pending[1:]
			step(ev)
		}
		for m.State() != Done {
			require.False(t, m.Deadline().IsZero(), "no deadline in state %s", m.State())
			now = m.Deadline()
			step(&Tick{})
		}
		require.Len(t, finished, 1)
		o := finished[0]
		if spec.NonRepeatable || spec.Keyed {
			require.LessOrEqual(t, runs, 1, "runs of a call that may run once")
		}
		if spec.NonRepeatable && !spec.Keyed {
			require.LessOrEqual(t, sent, 1, "a non-repeatable call without a key was retried")
		}
		if o.Ran == RanNo {
			require.Zero(t, runs, "outcome %+v says not run", o)
		}
		if o.Failure == FailureDeadline || o.Failure == FailureUpstream || o.Failure == FailureStopped {
			require.False(t, o.Ran != RanNo && (spec.NonRepeatable || spec.Keyed), "a lost outcome must be reported as unknown")
		}
		if recordsAtClaim >= 0 {
			require.Greater(t, len(records), recordsAtClaim, "the claim stays open")
		}
		for _, r := range records {
			if r.NotRun {
				require.Zero(t, runs, "the ledger was told that the call did not run")
			}
		}
	})
}

// Guards against retries that multiply the load: in a window they stay within
// the floor plus the share of requests, and older counts expire.
func TestRetryBudgetHoldsItsShare(t *testing.T) {
	b := NewRetryBudget(0.2, 5)
	now := time.Unix(1000, 0)
	granted := 0
	for range 1000 {
		b.Deposit(now)
		for range 3 {
			if b.Withdraw(now) {
				granted++
			}
		}
		now = now.Add(5 * time.Millisecond)
	}
	require.InDelta(t, 205, granted, 1)
	require.False(t, b.Withdraw(now))
	require.True(t, b.Withdraw(now.Add(time.Minute)), "requests and retries outside the window must not count")
}
