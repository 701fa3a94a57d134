package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a change of a limit that counts as use before the term, so that a tenant
// without any use is refused, when an entry reports for the first time afterwards.
func TestNewEntryAfterAChangeOfLimits(t *testing.T) {
	for name, changedAt := range map[string]time.Duration{"after a change of the leader": time.Second, "late in the term": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			low, high := TenantLimit{PerSecond: 1000, Burst: 1000}, TenantLimit{PerSecond: 20000, Burst: 20000}
			ask := func(g *TenantGrantor, entry string, cost float64, now time.Duration) float64 {
				grants, _, _ := g.Serve(&UsageReport{Entry: entry, Sequence: 1, Entries: 2, Tenants: []TenantUse{{Name: "a", Asked: cost, AskedFirst: cost}}}, now)
				return grants[0].Granted
			}
			lowered := &TenantGrantor{Bound: UsageBound{Window: 8 * time.Second, Over: 0.1}}
			lowered.SetLimits(map[string]TenantLimit{"a": high}, 0)
			lowered.Begin(1, 0)
			require.Equal(t, 1.0, ask(lowered, "first", 1, changedAt))
			lowered.SetLimits(map[string]TenantLimit{"a": low}, changedAt)
			require.Equal(t, 500.0, ask(lowered, "second", 500, changedAt+time.Second))

			raised := &TenantGrantor{Bound: UsageBound{Window: 8 * time.Second, Over: 0.1}}
			raised.SetLimits(map[string]TenantLimit{"a": low}, 0)
			raised.Begin(1, 0)
			require.Equal(t, 1000.0, ask(raised, "first", 1000, changedAt))
			raised.SetLimits(map[string]TenantLimit{"a": high}, changedAt)
			require.Zero(t, ask(raised, "second", 10000, changedAt+time.Millisecond), "a raised limit adds no tokens")
		})
	}
}

// Guards against tokens that are lost for good when an entry gives them back after it has
// begun a tenant anew: it saw a configuration without the tenant that the grantor skipped.
func TestReturnsOfATenantThatAnEntryBeganAnew(t *testing.T) {
	g := &TenantGrantor{Bound: UsageBound{Window: 8 * time.Second, Over: 0.1}}
	g.SetLimits(map[string]TenantLimit{"a": {PerSecond: 1000, Burst: 1000}}, 0)
	g.Begin(1, 0)
	sequence := uint64(0)
	serve := func(use TenantUse, now time.Duration) float64 {
		sequence++
		use.Name = "a"
		grants, _, _ := g.Serve(&UsageReport{Entry: "e", Sequence: sequence, Applied: sequence - 1, Entries: 1, Tenants: []TenantUse{use}}, now)
		return grants[0].Granted
	}
	require.Equal(t, 800.0, serve(TenantUse{Asked: 800, AskedFirst: 800}, time.Second))
	serve(TenantUse{ReturnedTotal: 800, PerSecond: 100}, time.Second)
	// The entry drops the tenant and gets it again.
	const now = 10 * time.Second
	depth := g.Bound.depth(TenantLimit{PerSecond: 1000, Burst: 1000})
	require.Equal(t, depth, serve(TenantUse{Asked: depth, AskedFirst: depth}, now))
	serve(TenantUse{Held: depth}, now)
	serve(TenantUse{ReturnedTotal: depth / 2, Held: depth / 2}, now)
	require.Equal(t, depth/2, serve(TenantUse{ReturnedTotal: depth / 2, Held: depth / 2, Asked: depth / 2, AskedFirst: depth}, now))
}

// Guards against a tenant that is refused for minutes after its limit was lowered, because
// what it had used above the earlier limit is paid back at the rate of the new one.
func TestDebtDoesNotOutlastALoweredLimit(t *testing.T) {
	g := &TenantGrantor{Bound: UsageBound{Window: 8 * time.Second, Over: 0.1}}
	g.SetLimits(map[string]TenantLimit{"a": {PerSecond: 100000, Burst: 100000}}, 0)
	g.Begin(1, 0)
	sequence := uint64(0)
	ask := func(cost float64, now time.Duration) float64 {
		sequence++
		grants, _, _ := g.Serve(&UsageReport{Entry: "e", Sequence: sequence, Applied: sequence - 1, Entries: 1, Tenants: []TenantUse{{Name: "a", Asked: cost, AskedFirst: cost}}}, now)
		return grants[0].Granted
	}
	require.Equal(t, 500000.0, ask(500000, time.Second))
	g.SetLimits(map[string]TenantLimit{"a": {PerSecond: 1000, Burst: 1000}}, time.Second)
	require.Zero(t, ask(500, 2*time.Second))
	require.Equal(t, 500.0, ask(500, 9*time.Second), "one window later")
}

// Guards against a tenant that is refused for minutes after its limit was lowered, because
// the shares that entries hold exceed the new depth until they have shrunk.
func TestSharesDoNotOutlastALoweredLimit(t *testing.T) {
	g := &TenantGrantor{Bound: UsageBound{Window: 8 * time.Second, Over: 0.1}}
	g.SetLimits(map[string]TenantLimit{"a": {PerSecond: 100000, Burst: 100000}}, 0)
	g.Begin(1, 0)
	sequence := uint64(0)
	serve := func(held, asked float64, now time.Duration) float64 {
		sequence++
		use := TenantUse{Name: "a", Held: held, Asked: asked, AskedFirst: held + asked}
		grants, _, _ := g.Serve(&UsageReport{Entry: "e", Sequence: sequence, Applied: sequence - 1, Entries: 1, Tenants: []TenantUse{use}}, now)
		return grants[0].Granted
	}
	require.Equal(t, 90000.0, serve(0, 90000, time.Second))
	serve(90000, 0, time.Second)
	g.SetLimits(map[string]TenantLimit{"a": {PerSecond: 1000, Burst: 1000}}, time.Second)
	require.Zero(t, serve(90000, 500, time.Second), "the share covers the new limit")
	require.Zero(t, serve(900, 0, 2*time.Second))
	require.Equal(t, 300.0, serve(900, 300, 9*time.Second), "one window later")
}

// Guards against a tenant that is refused for minutes after its limit was lowered, because
// what an entry had used without a grantor is charged to the new limit in full: as the debt of
// the entry, and to a new leader also as its recent use.
func TestUseWithoutAGrantorDoesNotOutlastALoweredLimit(t *testing.T) {
	bound := UsageBound{Window: 8 * time.Second, Over: 0.1}
	high, low := TenantLimit{PerSecond: 100000, Burst: 100000}, TenantLimit{PerSecond: 1000, Burst: 1000}
	for name, newLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			g := &TenantGrantor{Bound: bound}
			g.SetLimits(map[string]TenantLimit{"a": high}, 0)
			g.Begin(1, 0)
			b := NewTenantBalance(bound, high)
			sequence, term := uint64(0), uint64(0)
			serve := func(asked float64, now time.Duration) float64 {
				sequence++
				use := b.Report(now)
				use.Name, use.Asked, use.AskedFirst = "a", asked, asked
				if term == 0 {
					use.Recent = b.Recent(now)
				}
				grants, _, _ := g.Serve(&UsageReport{Entry: "e", Sequence: sequence, Applied: sequence - 1, Term: term, Entries: 1, Tenants: []TenantUse{use}}, now)
				b.Granted(grants[0].Granted, now)
				b.Contact(grants[0].Standby, now)
				term = g.Term()
				return grants[0].Granted
			}
			serve(0, time.Second)
			for _, cost := range []float64{80000, 81000} {
				ok, _ := b.TakeStandby(cost, 1, 0, 1300*time.Millisecond)
				require.True(t, ok)
			}
			g.SetLimits(map[string]TenantLimit{"a": low}, 2*time.Second)
			b.SetLimit(low)
			if newLeader {
				term = 0
				g.Begin(2, 2*time.Second)
			}
			require.InDelta(t, 1610, serve(0, 2*time.Second), 1, "the debt is cleared")
			for now := 2500 * time.Millisecond; now < 10*time.Second; now += 500 * time.Millisecond {
				serve(0, now)
			}
			require.Equal(t, 500.0, serve(500, 10*time.Second), "one window later")
		})
	}
}
