package policy

import "time"

// TenantLimit is the cap of a tenant over all entries together.
type TenantLimit struct {
	// PerSecond is the rate; 0 means no limit. Burst 0 counts as one second of the rate.
	PerSecond, Burst float64
}

// burst returns the burst that applies.
func (l TenantLimit) burst() float64 {
	if l.Burst > 0 {
		return l.Burst
	}
	return l.PerSecond
}

// UsageBound is the most that may run over all entries in any window: what the limit
// allows, plus the share Over of that, plus Slack.
type UsageBound struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Max returns the most that may run in any window.
func (b UsageBound) Max(l TenantLimit) float64 {
	return (l.PerSecond*b.Window.Seconds()+l.burst())*(1+b.Over) + b.Slack
}

// excess returns what the bound allows above the limit.
func (b UsageBound) excess(l TenantLimit) float64 {
	return b.Max(l) - l.PerSecond*b.Window.Seconds() - l.burst()
}

// lendableShare is the part of what the bound allows above the limit that may lie idle in
// shares. With half of it, a leader on each side of a partition exceeded the bound in some
// replays.
const lendableShare = 0.4

// lendable returns the tokens above the burst that may lie idle in shares, at most twice the
// burst: a slack is stated in tokens, and would leave a limit in requests without effect.
func (b UsageBound) lendable(l TenantLimit) float64 {
	return min(lendableShare*b.excess(l), 2*l.burst())
}

// windowShare is the part of what the bound allows above the limit that is granted in a
// window, so that tokens that lie idle in shares refuse nobody below the limit.
const windowShare = 0.15

// windowLimit returns what may be granted in a window.
func (b UsageBound) windowLimit(l TenantLimit) float64 {
	return l.PerSecond*b.Window.Seconds() + l.burst() + min(windowShare*b.excess(l), l.burst()/2)
}

// depth returns the depth of the bucket of all entries: level and shares together.
func (b UsageBound) depth(l TenantLimit) float64 { return l.burst() + b.lendable(l) }

const (
	// graceReserve is the part of what the bound allows above the depth that may be used
	// while there is no grantor; the rest is for the grantors that follow it and do not
	// know of all use. graceMargin is the part of the bound that may be used until then.
	graceReserve = 0.3
	graceMargin  = 0.85
	// quietShare is the part of its cap that a tenant under its cap uses in a window. One
	// that uses more is likely to go on so, and what it uses after the grace counts as well.
	quietShare = 0.7
	// surge is how many times its rate a tenant asks for at the most: at 6 times its usual
	// load, which is 1/1.8 of its cap.
	surge = 3.4
	// maxGrace limits the grace. A leader is replaced in 0.7 to 1.3 s, and entries find it
	// within half a second.
	maxGrace = 2500 * time.Millisecond
)

// grace returns how long without a grantor entries may admit what is asked for, so that
// tenants under their cap are not refused during a change of leader. The bound holds even
// if the tenant has a surge meanwhile. level is what was left in the bucket, and used what
// was used in the last window.
func (b UsageBound) grace(l TenantLimit, level, used float64) time.Duration {
	if l.PerSecond <= 0 {
		return 0
	}
	// The bucket limits what a tenant may use at once, but the bound still has room for
	// one that has used little of late.
	byLevel := (max(0, level) + graceReserve*(b.excess(l)-b.lendable(l))) / ((surge - 1) * l.PerSecond)
	busy := max(0, used-quietShare*l.PerSecond*b.Window.Seconds())
	byWindow := (graceMargin*b.Max(l) - used - 2*busy) / (surge * l.PerSecond)
	return min(maxGrace, seconds(max(byLevel, byWindow)))
}

// DefaultStandby returns the terms of a tenant of which the grantor stated none. Its bucket
// may be empty.
func (b UsageBound) DefaultStandby(l TenantLimit) StandbyTerms {
	return StandbyTerms{Grace: b.grace(l, 0, b.Max(l))}
}

// Rates without a grantor.
const (
	// standbyEqualShare is the part of a cap that is divided equally among all entries; the
	// rest follows their recent use.
	standbyEqualShare = 0.2
	// maxStandbyShare limits the standby rate of one entry. Without the rates of entries
	// that are not heard from, the cap must still cover a tenant's usual load of 1/1.8.
	maxStandbyShare = 0.4
	// standbyTTL is how long after the last contact standby rates apply, and lateShare the
	// part of a cap that all entries together use after it.
	standbyTTL = 10 * time.Second
	lateShare  = 0.5
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
