package policy

import "time"

// grant grants what an entry needs for a tenant.
func (g *TenantGrantor) grant(t *grantedTenant, s *grantedShare, u *TenantUse, r *UsageReport, now time.Duration) TenantGrant {
	out := TenantGrant{Name: u.Name, Undecided: g.warming(now)}
	granted, deducted := 0.0, 0.0
	if debt := max(0, -u.Held); debt > 0 {
		granted, deducted = debt, max(0, debt-s.restatedDebt)
		t.add(-deducted)
	}
	held := max(0, u.Held)
	if u.Asked > 0 {
		n := g.cover(t, held, u, now)
		if n < u.Asked && !out.Undecided {
			out.RetryAfter = g.retryAfter(t, u, n, now)
		}
		granted, deducted = granted+n, deducted+n
		t.add(-n)
	} else if spare := g.available(t, now) - g.Bound.depth(t.limit)/2; spare > 0 {
		// Shares ahead of demand come from the upper half, so that they leave room for
		// requests that wait.
		n := max(0, min(u.Wanted-held, spare))
		granted, deducted = granted+n, deducted+n
		t.add(-n)
	}
	if granted > 0 {
		s.pending = append(s.pending, pendingGrant{r.Sequence, deducted, now})
		t.used.add(deducted, 0, now)
		t.shared += deducted
		t.held.set(t.shared, now)
	}
	out.Granted, out.Standby = granted, g.standby(t, s, now)
	s.standby = out.Standby.PerSecond
	return out
}

// cover returns the tokens for the waiting requests of an entry: for all, for the first
// ones, or 0.
func (g *TenantGrantor) cover(t *grantedTenant, held float64, u *TenantUse, now time.Duration) float64 {
	available := g.available(t, now)
	if available >= u.Asked {
		return u.Asked
	}
	first := max(0, u.AskedFirst-held)
	if available >= first {
		return max(first, available)
	}
	if u.AskedFirst > t.limit.burst() && available >= t.limit.burst() {
		// A request above the burst could never run otherwise.
		return first
	}
	return 0
}

// retryAfter returns the time until there is room for what was not covered, after the
// requests that were refused before.
func (g *TenantGrantor) retryAfter(t *grantedTenant, u *TenantUse, covered float64, now time.Duration) time.Duration {
	needed := u.AskedFirst
	if covered > 0 {
		needed = u.Asked - covered
	}
	// Half of the burst is for new requests that come at the same time.
	missing := max(0, min(needed, t.limit.burst())+t.limit.burst()/2-(g.available(t, now)-covered))
	wait := missing/(spareShare*max(g.rate(t), t.limit.PerSecond/2)) + t.backlog/(returnShare*t.limit.PerSecond)
	t.backlog = min(t.backlog+u.Asked-covered, MaxRetryAfter.Seconds()*returnShare*t.limit.PerSecond)
	return max(time.Millisecond, min(seconds(wait), MaxRetryAfter))
}

// ReturnSpacing returns the time between the returns of two refused requests of a cost.
func ReturnSpacing(l TenantLimit, cost float64) time.Duration {
	return seconds(cost / (returnShare * l.PerSecond))
}

// withheld returns what a new grantor must not grant yet, because entries that it has not
// heard from may have used it. After warmUp, replayUse estimates their use.
func (g *TenantGrantor) withheld(t *grantedTenant, now time.Duration) float64 {
	if now-g.started >= warmUp {
		return 0
	}
	return g.Bound.depth(t.limit) * g.missing()
}

// missing returns the part of all entries that the grantor has not heard from in its term.
func (g *TenantGrantor) missing() float64 {
	return max(0, 1-float64(len(g.entries))/float64(max(1, g.expected)))
}

// restated returns the part of all entries whose use before the term is known.
func (g *TenantGrantor) restated() float64 {
	return min(1, float64(len(g.entries)-g.successors)/float64(max(1, g.expected)))
}

func (g *TenantGrantor) warming(now time.Duration) bool {
	return now-g.started < warmUp && len(g.entries) < g.expected
}

// standby returns what an entry may use without a grantor.
func (g *TenantGrantor) standby(t *grantedTenant, s *grantedShare, now time.Duration) StandbyTerms {
	share := standbyEqualShare / float64(max(1, g.expected, len(g.entries)))
	if s != nil && t.perSecond > 0 {
		share += (1 - standbyEqualShare) * s.perSecond / t.perSecond
	}
	return StandbyTerms{PerSecond: t.limit.PerSecond * min(share, maxStandbyShare), Grace: g.Bound.grace(t.limit, t.bucket.Level(), t.used.sum(usageSteps, now))}
}

// BusyStandby returns the standby terms of an entry for tenants in use, at most n, those
// with the most use first. Most entries have not seen a tenant of late when one of its
// callers comes to them.
func (g *TenantGrantor) BusyStandby(entry string, n int, now time.Duration) []TenantGrant {
	e := g.entries[entry]
	if e == nil || g.warming(now) {
		return nil
	}
	var out []TenantGrant
	for _, name := range g.busy[:min(n, len(g.busy))] {
		t, s := g.tenants[name], e.shares[name]
		if t == nil || s != nil && s.sequence == e.sequence {
			continue
		}
		g.advance(t, now)
		out = append(out, TenantGrant{Name: name, Standby: g.standby(t, s, now)})
		if s != nil {
			s.standby = out[len(out)-1].Standby.PerSecond
		}
	}
	return out
}

// available returns what may be granted. The limit allows the rate and the burst in every
// window, and so more than the bucket to a tenant that stays at its limit for longer than a
// window: its requests below the limit of the window are not to be refused. In the first
// window of a term the bucket alone counts, since an earlier grantor may still grant; so it
// does if the recorded use is shorter than a window.
func (g *TenantGrantor) available(t *grantedTenant, now time.Duration) float64 {
	level := t.bucket.Level()
	steps := int(g.Bound.Window / UsageStep)
	if now-g.started >= g.Bound.Window && steps < usageSteps {
		// The running step is not complete, so that a window reaches into one step more. What
		// was granted in both and what entries held before, which they may have used since,
		// stay below what the rate and the depth allow.
		most := t.limit.PerSecond*g.Bound.Window.Seconds() + g.Bound.depth(t.limit) - t.held.at(steps)
		window := min(g.Bound.windowLimit(t.limit)-t.used.sum(steps, now), most-t.used.sum(steps+1, now))
		level = max(level, min(window, t.sustained.Level()))
	}
	return level - g.withheld(t, now)
}
