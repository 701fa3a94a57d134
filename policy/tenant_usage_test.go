package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a bucket that lets more through in some period than its rate and depth.
func TestTokenBucketKeepsRateAndDepth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, depth := rapid.Float64Range(1, 1000).Draw(t, "rate"), rapid.Float64Range(1, 1000).Draw(t, "depth")
		b := NewTokenBucket(depth, 0)
		var now time.Duration
		var runs []usedAt
		for range rapid.IntRange(1, 60).Draw(t, "takes") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			b.Advance(rate, depth, now)
			if cost := rapid.Float64Range(0, depth).Draw(t, "cost"); cost <= b.Level() {
				b.Add(-cost)
				runs = append(runs, usedAt{now, cost})
			}
		}
		requireWindows(t, runs, rate, depth)
	})
}

type usedAt struct {
	at   time.Duration
	cost float64
}

// requireWindows checks that what ran between any two requests is at most the depth plus
// the rate over the time between them.
func requireWindows(t *rapid.T, runs []usedAt, rate, depth float64) {
	for i := range runs {
		sum := 0.0
		for _, r := range runs[i:] {
			sum += r.cost
			if most := depth + rate*(r.at-runs[i].at).Seconds(); sum > most*(1+1e-9) {
				t.Fatalf("%f ran from %v to %v, at most %f may", sum, runs[i].at, r.at, most)
			}
		}
	}
}

// Guards against tokens that are counted twice when calls or answers are lost, shares are
// given back, or entries restart.
func TestGrantorKeepsRateAndDepth(t *testing.T) {
	bound := UsageBound{Window: 8 * time.Second, Over: 0.1, Slack: 73000}
	limit := TenantLimit{PerSecond: 18000, Burst: 18000}
	// A tenant that stays at its limit gets the rate and the burst in every window.
	sustained := limit.PerSecond + limit.Burst/bound.Window.Seconds()
	inWindow := max(limit.PerSecond*bound.Window.Seconds()+bound.depth(limit), bound.windowLimit(limit))
	rapid.Check(t, func(t *rapid.T) {
		g := &TenantGrantor{Bound: bound}
		g.SetLimits(map[string]TenantLimit{"a": limit}, 0)
		g.Begin(1, 0)
		const entries = 4
		var balances [entries]*TenantBalance
		var sequence, applied, term [entries]uint64
		var born [entries]int64
		restart := func(i int) {
			balances[i] = NewTenantBalance(bound, limit)
			born[i]++
			sequence[i], applied[i], term[i] = 0, 0, 0
		}
		for i := range entries {
			restart(i)
		}
		now := time.Second
		var runs []usedAt
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				restart(i)
			}
			b := balances[i]
			cost := rapid.SampledFrom([]float64{50, 5270, 17000}).Draw(t, "cost")
			sequence[i]++
			use := b.Report(now)
			// What is granted for further requests stays in the share of the entry, until it is
			// used or given back.
			asked := cost * float64(rapid.IntRange(1, 8).Draw(t, "requests"))
			use.Name, use.Asked, use.AskedFirst = "a", max(0, asked-b.Balance()), cost
			r := &UsageReport{Entry: fmt.Sprint(i), Born: born[i], Sequence: sequence[i], Applied: applied[i], Term: term[i], Entries: entries, Tenants: []TenantUse{use}}
			lost := rapid.IntRange(0, 9).Draw(t, "lost")
			if lost == 0 {
				continue
			}
			grants, restate, stale := g.Serve(r, now)
			require.False(t, restate || stale)
			if lost == 1 {
				continue
			}
			applied[i], term[i] = sequence[i], 1
			b.Granted(grants[0].Granted, now)
			if b.Take(cost, now) {
				runs = append(runs, usedAt{now, cost})
			}
		}
		requireWindows(t, runs, sustained, bound.depth(limit))
		if most, from := mostUsedIn(runs, bound.Window); most > inWindow*(1+1e-9) {
			t.Fatalf("%f ran in the window from %v on, at most %f may", most, from, inWindow)
		}
	})
}

// mostUsedIn returns the most that ran in any window, and when that window began.
func mostUsedIn(runs []usedAt, window time.Duration) (most float64, from time.Duration) {
	for i, first := range runs {
		sum := 0.0
		for _, r := range runs[i:] {
			if r.at-first.at > window {
				break
			}
			sum += r.cost
		}
		if sum > most {
			most, from = sum, first.at
		}
	}
	return most, from
}

// grantedRuns asks a grantor for requests that run as soon as they are granted.
type grantedRuns struct {
	g        *TenantGrantor
	sequence map[string]uint64
	applied  map[string]uint64
	runs     []usedAt
}

func newGrantedRuns(bound UsageBound, limit TenantLimit) *grantedRuns {
	a := &grantedRuns{g: &TenantGrantor{Bound: bound}, sequence: map[string]uint64{}, applied: map[string]uint64{}}
	a.g.SetLimits(map[string]TenantLimit{"a": limit}, 0)
	a.g.Begin(1, 0)
	return a
}

func (a *grantedRuns) ask(entry string, cost float64, lost bool, now time.Duration) {
	a.sequence[entry]++
	use := TenantUse{Name: "a", Asked: cost, AskedFirst: min(cost, 1000)}
	grants, _, _ := a.g.Serve(&UsageReport{Entry: entry, Sequence: a.sequence[entry], Applied: a.applied[entry], Entries: 1, Tenants: []TenantUse{use}}, now)
	if !lost {
		a.applied[entry] = a.sequence[entry]
		a.runs = append(a.runs, usedAt{now, grants[0].Granted})
	}
}

// Guards against a tenant that gets more than the rate over a window and the depth, because
// the window begins with the last part of a step of the recorded use.
func TestWindowThatBeginsWithinAStep(t *testing.T) {
	bound, limit := UsageBound{Window: 8 * time.Second, Over: 0.1, Slack: 73000}, TenantLimit{PerSecond: 18000, Burst: 18000}
	a := newGrantedRuns(bound, limit)
	for now := 1010 * time.Millisecond; now <= 12*time.Second; now += 10 * time.Millisecond {
		a.ask("e", bound.depth(limit), false, now)
	}
	most, from := mostUsedIn(a.runs, bound.Window)
	require.LessOrEqual(t, most, (8*limit.PerSecond+bound.depth(limit))*(1+1e-9), "from %v on", from)
}

// Guards against grants in lost answers that reduce the recorded use after they have left the
// window themselves, so that the tenant gets as much again.
func TestLostGrantsLeaveTheWindowTogether(t *testing.T) {
	bound, limit := UsageBound{Window: 8 * time.Second, Over: 0.1, Slack: 73000}, TenantLimit{PerSecond: 18000, Burst: 18000}
	a := newGrantedRuns(bound, limit)
	a.ask("other", 40000, true, 10200*time.Millisecond)
	a.ask("e", 13000, false, 10260*time.Millisecond)
	a.ask("other", 0, false, 10270*time.Millisecond)
	for now := 10280 * time.Millisecond; now <= 20*time.Second; now += 10 * time.Millisecond {
		a.ask("e", bound.depth(limit), false, now)
	}
	most, from := mostUsedIn(a.runs, bound.Window)
	require.LessOrEqual(t, most, (8*limit.PerSecond+bound.depth(limit))*(1+1e-9), "from %v on", from)
}

// Guards against a tenant that gets more than the rate over a window and the depth, because an
// entry holds a share for some time and uses it after the window has begun.
func TestShareThatIsUsedLate(t *testing.T) {
	bound, limit := UsageBound{Window: 8 * time.Second, Over: 0.1, Slack: 73000}, TenantLimit{PerSecond: 18000, Burst: 18000}
	g := &TenantGrantor{Bound: bound}
	g.SetLimits(map[string]TenantLimit{"a": limit}, 0)
	g.Begin(1, 0)
	sequence, held := map[string]uint64{}, 0.0
	report := func(entry string, held, asked float64, now time.Duration) float64 {
		sequence[entry]++
		use := TenantUse{Name: "a", Held: held, Asked: asked, AskedFirst: min(asked, 1000)}
		grants, _, _ := g.Serve(&UsageReport{Entry: entry, Sequence: sequence[entry], Applied: sequence[entry] - 1, Entries: 2, Tenants: []TenantUse{use}}, now)
		return grants[0].Granted
	}
	const begin = 20 * time.Second
	var runs []usedAt
	for now := time.Second; now < begin+12*time.Second; now += 10 * time.Millisecond {
		switch {
		case now == begin:
			held = report("holder", 0, bound.depth(limit), now)
		case now == begin+850*time.Millisecond:
			runs = append(runs, usedAt{now, held})
			held = 0
		case now%(100*time.Millisecond) == 0:
			report("holder", held, 0, now)
		}
		asked := 0.0
		if now > begin {
			asked = bound.depth(limit)
		}
		runs = append(runs, usedAt{now, report("other", 0, asked, now)})
	}
	most, from := mostUsedIn(runs, bound.Window)
	require.LessOrEqual(t, most, (8*limit.PerSecond+bound.depth(limit))*(1+1e-9), "from %v on", from)
}

// Guards against a new process whose reports are taken for those of an earlier one, because
// the wall clock was stepped back before it started.
func TestRestartAfterAClockStepIsServed(t *testing.T) {
	g := &TenantGrantor{}
	g.Begin(1, 0)
	_, _, stale := g.Serve(&UsageReport{Entry: "e", Born: 1000, Sequence: 9}, time.Second)
	require.False(t, stale)
	_, _, stale = g.Serve(&UsageReport{Entry: "e", Born: 400, Sequence: 1}, 1100*time.Millisecond)
	require.True(t, stale, "a late report of an earlier process")
	_, _, stale = g.Serve(&UsageReport{Entry: "e", Born: 400, Sequence: 5}, 3*time.Second)
	require.False(t, stale)
}

// Guards against keys that are used later than the lifetime after a newer version was
// acknowledged, whatever the leader stated before and whenever versions arrive.
func TestConfirmationEndsAfterANewerVersion(t *testing.T) {
	const lifetime = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := Confirmation{Lifetime: lifetime}
		committed := []time.Duration{0, 0} // by version
		versionAt := func(at time.Duration) (v uint64) {
			for i, since := range committed {
				if since <= at {
					v = uint64(i)
				}
			}
			return v
		}
		now, held := time.Minute, uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				committed = append(committed, now)
			case 1:
				held = rapid.Uint64Range(held, uint64(len(committed)-1)).Draw(t, "held")
			default:
				at := now - time.Duration(rapid.IntRange(0, 1500).Draw(t, "age"))*time.Millisecond
				c.Note(versionAt(at), held, at)
			}
			if c.Valid(held, now) && versionAt(now-lifetime) > held {
				t.Fatalf("version %d is used at %v, %v were committed", held, now, committed)
			}
		}
	})
}

// Guards against a statement about the version in use that is not enough to use its keys,
// and against one that ends when a newer version is announced before it arrives.
func TestConfirmationOutlastsAnAnnouncement(t *testing.T) {
	c := Confirmation{Lifetime: 3 * time.Second}
	require.False(t, c.Valid(1, 0))
	c.Note(1, 1, 10*time.Second)
	c.Note(2, 1, 11*time.Second)
	require.True(t, c.Valid(1, 12*time.Second))
	require.False(t, c.Valid(1, 13*time.Second))
	require.True(t, c.Valid(2, 13*time.Second))
}

// Guards against a request above the burst that never runs, or that runs without being
// charged in full.
func TestRequestAboveTheBurstRunsWhenTheBucketIsFull(t *testing.T) {
	g := &TenantGrantor{Bound: UsageBound{Window: 8 * time.Second, Over: 0.1}}
	g.SetLimits(map[string]TenantLimit{"a": {PerSecond: 1000, Burst: 1000}}, 0)
	g.Begin(1, 0)
	sequence := uint64(0)
	ask := func(cost float64, now time.Duration) TenantGrant {
		sequence++
		grants, _, _ := g.Serve(&UsageReport{Entry: "e", Sequence: sequence, Applied: sequence - 1, Entries: 1, Tenants: []TenantUse{{Name: "a", Asked: cost, AskedFirst: cost}}}, now)
		return grants[0]
	}
	require.Equal(t, 5000.0, ask(5000, time.Second).Granted)
	refused := ask(100, 2*time.Second)
	require.Zero(t, refused.Granted)
	require.Greater(t, refused.RetryAfter, 2*time.Second)
	require.Equal(t, 100.0, ask(100, 2*time.Second+refused.RetryAfter).Granted)
}

// Guards against keys in use that end at once when two newer versions are announced before
// the entry has got the first of them, as with a large configuration on a slow link.
func TestConfirmationOutlastsSeveralAnnouncements(t *testing.T) {
	c := Confirmation{Lifetime: 3 * time.Second}
	c.Note(1, 1, 10*time.Second)
	c.Note(2, 1, 11*time.Second)
	c.Note(3, 1, 11500*time.Millisecond)
	require.True(t, c.Valid(1, 12*time.Second))
	require.False(t, c.Valid(1, 13*time.Second))
	require.True(t, c.Valid(3, 14*time.Second))
}

// Guards against a tenant that is refused below what its limit allows in a window. Replays a
// tenant that asks for three times its rate for 30 s, in requests of 5,270 tokens.
func TestTenantAtItsLimitGetsRateAndBurstInEveryWindow(t *testing.T) {
	bound := UsageBound{Window: 8 * time.Second, Over: 0.1, Slack: 73000}
	limit := TenantLimit{PerSecond: 100000, Burst: 100000}
	g := &TenantGrantor{Bound: bound}
	g.SetLimits(map[string]TenantLimit{"a": limit}, 0)
	g.Begin(1, 0)
	const cost, interval = 5270.0, 17 * time.Millisecond
	var runs []usedAt
	sequence, held := uint64(0), 0.0
	for now := time.Duration(0); now < 40*time.Second; now += interval {
		sequence++
		use := TenantUse{Name: "a", Held: held, Asked: max(0, cost-held), AskedFirst: cost}
		r := &UsageReport{Entry: "e", Sequence: sequence, Applied: sequence - 1, Entries: 1, Tenants: []TenantUse{use}}
		if sequence > 1 {
			r.Term = 1
		}
		grants, _, _ := g.Serve(r, now)
		if held += grants[0].Granted; held >= cost {
			held -= cost
			runs = append(runs, usedAt{now, cost})
		}
	}
	for from := 10 * time.Second; from < 30*time.Second; from += time.Second {
		sum := 0.0
		for _, r := range runs {
			if r.at >= from && r.at < from+bound.Window {
				sum += r.cost
			}
		}
		require.Greater(t, sum, 0.95*(limit.PerSecond*bound.Window.Seconds()+limit.Burst))
		require.Less(t, sum, bound.Max(limit))
	}
}
