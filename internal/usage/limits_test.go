package usage

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/policy"
)

// newTestUsage returns the usage of an entry that knows of a number of entries.
func newTestUsage(entries int) *entryUsage {
	b := newEntryUsage(replayBound, func() float64 { return 0.5 })
	b.entries = entries
	b.setLimits(map[string]policy.TenantLimit{"a": {PerSecond: 1000, Burst: 1000}}, 0)
	return b
}

// Guards against a refusal by a limit that a new configuration has ended while the request
// waited for the grantor.
func TestWaitingRequestWhoseLimitEnds(t *testing.T) {
	b := newTestUsage(100)
	t1 := b.ask("a", 900, time.Second)
	require.Equal(t, waiting, t1.verdict)
	b.setLimits(nil, time.Second)
	require.Equal(t, admitted, t1.verdict)
}

// Guards against callers that are sent away for the longest time, because the entry does not
// know the number of entries: it has just started, or the hub that it is attached to has.
func TestUnknownNumberOfEntries(t *testing.T) {
	b := newTestUsage(0)
	b.fail(time.Second)
	refused := b.ask("a", 900, time.Second)
	require.Equal(t, noGrantor, refused.verdict)
	require.LessOrEqual(t, refused.retryAfter, time.Second)

	b = newTestUsage(0)
	r := b.report(0, time.Second)
	b.apply(r, time.Second, &answer{term: 1, grants: []policy.TenantGrant{{Name: "a", Standby: policy.StandbyTerms{PerSecond: 400, Grace: time.Second}}}}, time.Second)
	b.fail(1300 * time.Millisecond)
	require.Equal(t, admitted, b.ask("a", 900, 1300*time.Millisecond).verdict, "the terms of the grantor apply")
}

// Guards against one request that closes a tenant's cap for good: its caller states more
// tokens than the bound allows in any window.
func TestRequestAboveTheBoundIsRefused(t *testing.T) {
	b := newTestUsage(1)
	most := replayBound.Max(policy.TenantLimit{PerSecond: 1000, Burst: 1000})
	require.Equal(t, waiting, b.ask("a", most, time.Second).verdict)
	for _, cost := range []float64{most + 1, math.MaxInt64} {
		refused := b.ask("a", cost, time.Second)
		require.Equal(t, overLimit, refused.verdict)
		require.Positive(t, refused.retryAfter)
	}
	b.fail(time.Second)
	require.Equal(t, overLimit, b.ask("a", math.MaxInt64, time.Second).verdict)
}

// Guards against times to return that grow with each request that a refusal answers.
func TestReturnTimesAreLimited(t *testing.T) {
	b := newTestUsage(1)
	t1 := b.ask("a", 900, time.Second)
	r := b.report(0, time.Second)
	b.apply(r, time.Second, &answer{term: 1, grants: []policy.TenantGrant{{Name: "a", RetryAfter: 10 * time.Second}}}, time.Second)
	require.Equal(t, overLimit, t1.verdict)
	for range 100 {
		require.LessOrEqual(t, b.ask("a", 900, time.Second).retryAfter, 30*time.Second)
	}
}

// Guards against a change of the leader that opens caps in requests: an entry that has used
// a tenant less than once a second did not state it.
func TestRareUseIsStatedToANewLeader(t *testing.T) {
	b := newTestUsage(1)
	b.outage = true
	require.Equal(t, noGrantor, b.ask("a", 1, time.Second).verdict)
	b.outage = false
	t1 := b.ask("a", 1, time.Second)
	r := b.report(1, time.Second)
	b.apply(r, time.Second, &answer{term: 1, grants: []policy.TenantGrant{{Name: "a", Granted: 1}}}, time.Second)
	require.Equal(t, admitted, t1.verdict)
	require.Empty(t, b.report(1, 4*time.Second).Tenants, "the leader knows it")
	restated := b.report(2, 4*time.Second)
	require.Len(t, restated.Tenants, 1)
	require.Len(t, restated.Tenants[0].Recent, 13)
	require.Empty(t, b.report(3, 20*time.Second).Tenants)
}

// Guards against small requests that are refused because a larger one for which there is no
// room came before them in the same report.
func TestSmallRequestBehindARefusedOne(t *testing.T) {
	b := newTestUsage(1)
	apply := func(g policy.TenantGrant) *policy.UsageReport {
		r := b.report(0, time.Second)
		g.Name = "a"
		b.apply(r, time.Second, &answer{term: 1, grants: []policy.TenantGrant{g}}, time.Second)
		return r
	}
	large, middle, small := b.ask("a", 900, time.Second), b.ask("a", 300, time.Second), b.ask("a", 100, time.Second)
	apply(policy.TenantGrant{RetryAfter: 5 * time.Second})
	require.Equal(t, []verdict{overLimit, waiting, waiting}, []verdict{large.verdict, middle.verdict, small.verdict})
	require.True(t, b.asks(), "a call for them is due")
	second := apply(policy.TenantGrant{Granted: 100, RetryAfter: time.Second})
	require.Equal(t, []float64{100, 400}, []float64{second.Tenants[0].AskedFirst, second.Tenants[0].Asked})
	require.Equal(t, []verdict{overLimit, admitted}, []verdict{middle.verdict, small.verdict})

	large, small = b.ask("a", 290, time.Second), b.ask("a", 50, time.Second)
	apply(policy.TenantGrant{Granted: 60, RetryAfter: time.Second})
	require.Equal(t, []verdict{overLimit, admitted}, []verdict{large.verdict, small.verdict}, "what the entry holds covers it")
}

// Guards against a share above a lowered limit, from requests that were charged under the
// earlier limit and did not run.
func TestRequestGivenBackAfterALoweredLimit(t *testing.T) {
	b := newTestUsage(1)
	t1 := b.ask("a", 900, time.Second)
	r := b.report(0, time.Second)
	b.apply(r, time.Second, &answer{term: 1, grants: []policy.TenantGrant{{Name: "a", Granted: 900}}}, time.Second)
	require.Equal(t, admitted, t1.verdict)
	b.setLimits(map[string]policy.TenantLimit{"a": {PerSecond: 10, Burst: 10}}, time.Second)
	b.giveBack(t1, 2*time.Second)
	require.InDelta(t, 9, t1.account.balance.Balance(), 1e-6)
}
