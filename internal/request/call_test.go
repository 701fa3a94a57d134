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

// Guards against a call that runs twice, a false "not run" to the caller or the
// ledger, a claim that stays open, and a caller with no or two outcomes, under
// any order of messages, losses, repeats, timeouts and disconnects.
func TestCallUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		spec := CallSpec{
			NonRepeatable: rapid.Bool().Draw(t, "non_repeatable"), Keyed: rapid.Bool().Draw(t, "keyed"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: now.Add(10 * time.Second),
			Claim: time.Second, Attempts: 3, Budget: drawnBudget{t},
		}
		m := NewCall(spec)
		var inbox []Event
		var finished []Outcome
		var records []*RecordOutcome
		runs, sent := 0, 0
		// claimedAt is the number of records when the claim took effect, which is
		// at the latest when its answer arrives.
		claimedAt := -1
		kinds := []upstream.ErrorKind{upstream.KindNotSent, upstream.KindNotRun, upstream.KindOutcomeUnknown, upstream.KindFailed}
		act := func(a Action) {
			switch a := a.(type) {
			case *ClaimKey:
				result := rapid.SampledFrom([]pb.ClaimResponse_Result{1, 1, 1, 1, 2, 3, 4, 5, 6, 7}).Draw(t, "claim")
				if rapid.Bool().Draw(t, "claim_lost") {
					inbox = append(inbox, &ClaimFailed{})
				}
				inbox = append(inbox, &ClaimAnswered{Response: &pb.ClaimResponse{Result: result, Answer: &pb.RecordedAnswer{}}})
			case *Send:
				require.Empty(t, finished)
				sent++
				kind := rapid.SampledFrom(kinds).Draw(t, "kind")
				switch rapid.IntRange(0, 5).Draw(t, "upstream") {
				case 0:
					inbox = append(inbox, &NoUpstream{Attempt: a.Attempt})
				case 1:
					runs++ // and stays silent
				case 2:
					runs++
					inbox = append(inbox, &Answered{Attempt: a.Attempt}, &SendFailed{Attempt: a.Attempt, Kind: upstream.KindOutcomeUnknown})
				case 3:
					if kind == upstream.KindOutcomeUnknown || kind == upstream.KindFailed {
						runs++
					}
					inbox = append(inbox, &SendFailed{Attempt: a.Attempt, Kind: kind})
				default:
					runs++
					inbox = append(inbox, &Answered{Attempt: a.Attempt}, &AnswerComplete{Attempt: a.Attempt})
				}
			case *RecordOutcome:
				records = append(records, a)
			case *Finish:
				finished = append(finished, a.Outcome)
			}
		}
		step := func(ev Event) {
			if c, ok := ev.(*ClaimAnswered); ok && c.Response.Result == pb.ClaimResponse_CLAIMED && claimedAt < 0 {
				claimedAt = len(records)
			}
			for _, a := range slices.Clone(m.Step(now, ev)) {
				act(a)
			}
		}
		step(&Start{})
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch n := rapid.IntRange(0, 11).Draw(t, "op"); {
			case n == 0:
				step(&CallerGone{})
			case n <= 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				step(&Tick{})
			case len(inbox) > 0:
				ev := inbox[0]
				if n > 3 {
					inbox = inbox[1:]
				}
				step(ev)
			}
		}
		for len(inbox) > 0 {
			ev := inbox[0]
			inbox = inbox[1:]
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
			require.LessOrEqual(t, sent, 1, "a call without a key was sent again")
		}
		if o.Ran == RanNo {
			require.Zero(t, runs, "outcome %+v says not run", o)
		}
		if o.Failure == FailureDeadline || o.Failure == FailureUpstream {
			require.False(t, o.Ran != RanNo && (spec.NonRepeatable || spec.Keyed), "a lost outcome must be stated as unknown")
		}
		if claimedAt >= 0 {
			require.Greater(t, len(records), claimedAt, "the claim stays open")
		}
		for _, r := range records {
			if r.NotRun {
				require.Zero(t, runs, "the ledger was told that the call did not run")
			}
		}
	})
}

// Guards against retries multiplying the load: in any window the retries stay
// within the floor and the share of requests.
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
	require.True(t, b.Withdraw(now.Add(time.Minute)), "old traffic must not count")
}
