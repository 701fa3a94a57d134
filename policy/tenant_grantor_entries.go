package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// sweep finds the entries that are not heard from and the tenants in use.
func (g *TenantGrantor) sweep(now time.Duration) {
	if now-g.sweptAt < usageSweepInterval {
		return
	}
	g.sweptAt = now
	if now-g.expectedAt >= expectedTTL {
		g.expected, g.expectedNext, g.expectedAt = g.expectedNext, 0, now
	}
	g.decay(now)
	g.sortBusy()
	for _, t := range g.tenants {
		g.advance(t, now)
		t.unheard = 0
	}
	g.unheardStandby, g.unheardLate = min(maxStandbyShare, g.missing()), 0
	if now-g.started > standbyTTL {
		g.unheardStandby *= lateShare
	}
	part := 1 / float64(max(1, g.expected, len(g.entries)))
	for id, e := range g.entries {
		age := now - e.heardAt
		if age > shareTimeout && !e.unheard {
			e.unheard = true
			g.takeShares(e, -1)
		}
		switch {
		case age > entryTTL:
			delete(g.entries, id)
		case age > standbyTTL:
			g.unheardLate += lateShare * part
		case age > contactTimeout:
			g.unheardStandby += standbyEqualShare * part
			for name, s := range e.shares {
				if t := g.tenants[name]; t != nil {
					t.unheard += max(0, s.standby-standbyEqualShare*part*t.limit.PerSecond)
				}
			}
		}
	}
}

// decay reduces the mean use of entries that do not state it any more.
func (g *TenantGrantor) decay(now time.Duration) {
	if now-g.decayedAt < time.Second {
		return
	}
	left := math.Exp(-(now - g.decayedAt).Seconds() / meanPeriod.Seconds())
	g.decayedAt = now
	for _, t := range g.tenants {
		t.perSecond = 0
	}
	for _, e := range g.entries {
		for name, s := range e.shares {
			t := g.tenants[name]
			if t == nil {
				continue
			}
			s.perSecond *= left
			if s.perSecond < minMeanUse*t.limit.PerSecond && s.held == 0 && len(s.pending) == 0 {
				delete(e.shares, name)
			} else if !e.unheard {
				t.perSecond += s.perSecond
			}
		}
	}
}

// minMeanUse is the part of a limit below which the mean use of an entry is forgotten.
const minMeanUse = 1e-4

// takeShares adds the shares of an entry to those of the tenants, or subtracts them if
// sign is -1.
func (g *TenantGrantor) takeShares(e *grantedEntry, sign float64) {
	for name, s := range e.shares {
		if t := g.tenants[name]; t != nil {
			t.shared += sign * s.shared()
			t.perSecond += sign * s.perSecond
		}
	}
}

// drop makes the shares of an entry count as used, because its process has ended.
func (g *TenantGrantor) drop(e *grantedEntry) {
	if !e.unheard {
		g.takeShares(e, -1)
	}
}

// restore lets the shares of an entry count as held again.
func (g *TenantGrantor) restore(e *grantedEntry) {
	e.unheard = false
	g.takeShares(e, 1)
}

// sortBusy lists the tenants in use.
func (g *TenantGrantor) sortBusy() {
	g.busy = g.busy[:0]
	for name, t := range g.tenants {
		if t.perSecond >= minMeanUse*t.limit.PerSecond {
			g.busy = append(g.busy, name)
		}
	}
	slices.SortFunc(g.busy, func(a, b string) int {
		return cmp.Or(cmp.Compare(g.tenants[b].perSecond, g.tenants[a].perSecond), cmp.Compare(a, b))
	})
}

// GrantorState is the state of a tenant at the grantor, for metrics.
type GrantorState struct {
	Level          float64 `json:"level"`
	Shared         float64 `json:"shared"`
	UsedLastWindow float64 `json:"used_last_window"`
	Backlog        float64 `json:"backlog"`
}

// State returns the state of the n tenants with the most use.
func (g *TenantGrantor) State(n int, now time.Duration) map[string]GrantorState {
	states := map[string]GrantorState{}
	for _, name := range g.busy[:min(n, len(g.busy))] {
		if t := g.tenants[name]; t != nil {
			g.advance(t, now)
			states[name] = GrantorState{t.bucket.Level(), t.shared, t.used.sum(usageSteps, now), t.backlog}
		}
	}
	return states
}
