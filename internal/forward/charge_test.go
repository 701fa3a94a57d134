package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/policy"
)

// Guards against a request to an upstream on a path that does not charge it.
func TestNothingIsSentWithoutACharge(t *testing.T) {
	_, err := (&target{id: "i-1", address: "127.0.0.1:1"}).connect(context.Background(), charge{}, "a")
	require.ErrorContains(t, err, `request to upstream "i-1" has no charge`)
}

func newChargeTest(slack float64) *exchange {
	s := &Server{start: time.Now(), retryBudgets: map[string]*policy.RetryBudget{}, prefillRejectedAt: map[string]time.Duration{}}
	s.opts.RetryLimits = func() RetryLimits {
		return RetryLimits{RetrySlack: slack / entriesSlackFraction / 2, RetryWindow: 10 * time.Second, Entries: 1}
	}
	s.vars = newVars(s)
	return &exchange{s: s, service: &Service{Name: "llm"}}
}

// Guards against a prefill call whose rejection the retry budget has no room for, and
// against prompts that decode engines prefill although prefill engines accept them.
func TestPrefillCallsAreChargedBeforeTheyAreMade(t *testing.T) {
	x := newChargeTest(1)
	first, ok := x.chargePrefill(&placement{})
	require.True(t, ok)
	require.Equal(t, payerEntry, first.payer)
	second, ok := x.chargePrefill(&placement{})
	require.True(t, ok, "the request's own run backs the call")
	second.spend()
	_, ok = x.chargeRun(&placement{})
	require.False(t, ok, "the run that backed the rejected call is used up")
	first.accept()
	run, ok := x.chargeRun(&placement{})
	require.True(t, ok, "the accepted call is free")
	run.giveBack()

	y := newChargeTest(0)
	y.s.recordPrefillRejection("llm")
	_, ok = y.chargePrefill(&placement{})
	require.False(t, ok, "engines reject such calls")
	require.True(t, y.canPayRun(&placement{}))
}

// Guards against a prefill call that takes the charge that the scheduler took for the run.
func TestSchedulersChargeIsKeptForTheRun(t *testing.T) {
	x := newChargeTest(0)
	x.freeUsed, x.prefilled = true, true
	_, ok := x.chargePrefill(&placement{charges: 1})
	require.False(t, ok)
	p := &placement{charges: 2}
	prefill, ok := x.chargePrefill(p)
	require.True(t, ok)
	require.Equal(t, payerScheduler, prefill.payer)
	run, ok := x.chargeRun(p)
	require.True(t, ok)
	require.Equal(t, payerScheduler, run.payer)
}
